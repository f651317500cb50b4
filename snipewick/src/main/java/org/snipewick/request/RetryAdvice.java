package org.snipewick.request;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.Set;
import org.snipewick.failure.Failure;
import org.snipewick.failure.FailureType;
import org.snipewick.failure.Outcome;

/** Says when to come back with a refused call, where the part that refused it did not. */
public final class RetryAdvice {
  private static final Duration USUAL_DELAY = Duration.ofSeconds(1);

  /** Failures of calls that may go better later, if nothing was run. */
  private static final Set<FailureType> PASSING =
      Set.of(
          FailureType.LIMIT_EXCEEDED,
          FailureType.SHED,
          FailureType.DEADLINE_UNREACHABLE,
          FailureType.DEADLINE_EXCEEDED,
          FailureType.NO_ENDPOINT,
          FailureType.STOPPING,
          FailureType.ENDPOINT_REFUSED);

  /** Failures after which a repeat with the same key tells more, whatever has been run. */
  private static final Set<FailureType> ASK_AGAIN =
      Set.of(
          FailureType.PLATFORM_UNAVAILABLE,
          FailureType.REGISTRAR_UNAVAILABLE,
          FailureType.IN_PROGRESS);

  private RetryAdvice() {}

  /**
   * Completes a failure.
   *
   * @param failure failure as it is told to the caller
   * @return the same failure, with a time to come back if coming back makes sense
   */
  public static Failure complete(Failure failure) {
    requireNonNull(failure, "failure");
    boolean helps =
        ASK_AGAIN.contains(failure.type())
            || (failure.outcome() == Outcome.NOT_RUN && PASSING.contains(failure.type()));
    return helps && failure.retryAfter().isEmpty() ? failure.withRetryAfter(USUAL_DELAY) : failure;
  }
}
