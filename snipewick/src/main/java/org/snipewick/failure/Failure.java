package org.snipewick.failure;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.Optional;

/**
 * A failure as a value: what went wrong, what is promised about the request, when to come back.
 *
 * @param type kind of failure
 * @param outcome whether the request, over all calls with its key, ran
 * @param detail what happened, in English, without secrets
 * @param retryAfter when coming back makes sense; empty if it does not
 */
public record Failure(
    FailureType type, Outcome outcome, String detail, Optional<Duration> retryAfter) {

  /** Checks the parts. */
  public Failure {
    requireNonNull(type, "type");
    requireNonNull(outcome, "outcome");
    requireNonNull(detail, "detail");
    requireNonNull(retryAfter, "retryAfter");
  }

  /**
   * Returns a failure of a request that was not run.
   *
   * @param type kind of failure
   * @param detail what happened
   * @return failure without a time to come back
   */
  public static Failure notRun(FailureType type, String detail) {
    return new Failure(type, Outcome.NOT_RUN, detail, Optional.empty());
  }

  /**
   * Returns a failure of a request that may have run.
   *
   * @param type kind of failure
   * @param detail what happened
   * @return failure without a time to come back
   */
  public static Failure unknown(FailureType type, String detail) {
    return new Failure(type, Outcome.UNKNOWN, detail, Optional.empty());
  }

  /**
   * Returns a failure of a request that ran.
   *
   * @param type kind of failure
   * @param detail what happened
   * @return failure without a time to come back
   */
  public static Failure ran(FailureType type, String detail) {
    return new Failure(type, Outcome.RAN, detail, Optional.empty());
  }

  /**
   * Returns this failure with a time to come back.
   *
   * @param delay time from now
   * @return changed copy
   */
  public Failure withRetryAfter(Duration delay) {
    return new Failure(type, outcome, detail, Optional.of(delay));
  }

  /**
   * Returns this failure with another promise about the request.
   *
   * @param changed promise
   * @return changed copy
   */
  public Failure withOutcome(Outcome changed) {
    return new Failure(type, changed, detail, retryAfter);
  }

  /**
   * Wraps this failure for a {@link java.util.concurrent.CompletableFuture}.
   *
   * @return exception that carries this failure
   */
  public FailureException toException() {
    return new FailureException(this);
  }
}
