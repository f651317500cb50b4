package org.snipewick.request;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.Set;
import org.snipewick.failure.Failure;
import org.snipewick.failure.FailureType;
import org.snipewick.failure.Outcome;

/** Adds a default retry delay to failures without one if a retry may succeed. */
public final class RetryAdvice {
  private static final Duration DEFAULT_RETRY_AFTER = Duration.ofSeconds(1);

  /** Failures after which a retry may succeed later, provided that the request did not run. */
  private static final Set<FailureType> RETRYABLE_IF_NOT_RUN =
      Set.of(
          FailureType.LIMIT_EXCEEDED,
          FailureType.SHED,
          FailureType.DEADLINE_UNREACHABLE,
          FailureType.DEADLINE_EXCEEDED,
          FailureType.NO_ENDPOINT,
          FailureType.STOPPING,
          FailureType.ENDPOINT_REFUSED);

  /**
   * Failures after which a duplicate request with the same key may get an answer or a definite
   * outcome, whether the first one ran or not.
   */
  private static final Set<FailureType> ALWAYS_RETRYABLE =
      Set.of(
          FailureType.PLATFORM_UNAVAILABLE,
          FailureType.REGISTRAR_UNAVAILABLE,
          FailureType.IN_PROGRESS);

  private RetryAdvice() {}

  /**
   * Returns a failure with a retry delay if a retry may succeed.
   *
   * @param failure failure as it is reported to the caller
   * @return failure with its own retry delay, else with the default of 1 s if a retry may succeed,
   *     else unchanged
   */
  public static Failure withRetryAfter(Failure failure) {
    requireNonNull(failure, "failure");
    boolean retryable =
        ALWAYS_RETRYABLE.contains(failure.type())
            || (failure.outcome() == Outcome.NOT_RUN
                && RETRYABLE_IF_NOT_RUN.contains(failure.type()));
    return retryable && failure.retryAfter().isEmpty()
        ? failure.withRetryAfter(DEFAULT_RETRY_AFTER)
        : failure;
  }
}
