package org.snipewick.failure;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.Optional;

/**
 * A failure as a value: its type, whether the request ran, and when to retry. Immutable.
 *
 * @param type type of the failure
 * @param outcome whether the request ran, in this call or another one with the same idempotency key
 * @param detail what happened, in English, without secrets
 * @param retryAfter delay after which a retry may succeed; empty if a retry is not advised
 */
public record Failure(
    FailureType type, Outcome outcome, String detail, Optional<Duration> retryAfter) {

  /** Checks that no component is null. */
  public Failure {
    requireNonNull(type, "type");
    requireNonNull(outcome, "outcome");
    requireNonNull(detail, "detail");
    requireNonNull(retryAfter, "retryAfter");
  }

  /**
   * Returns a failure of a request that was not run.
   *
   * @param type type of the failure
   * @param detail what happened, in English, without secrets
   * @return failure without a retry delay
   */
  public static Failure notRun(FailureType type, String detail) {
    return new Failure(type, Outcome.NOT_RUN, detail, Optional.empty());
  }

  /**
   * Returns a failure of a request that may have run.
   *
   * @param type type of the failure
   * @param detail what happened, in English, without secrets
   * @return failure without a retry delay
   */
  public static Failure unknown(FailureType type, String detail) {
    return new Failure(type, Outcome.UNKNOWN, detail, Optional.empty());
  }

  /**
   * Returns a failure of a request that ran.
   *
   * @param type type of the failure
   * @param detail what happened, in English, without secrets
   * @return failure without a retry delay
   */
  public static Failure ran(FailureType type, String detail) {
    return new Failure(type, Outcome.RAN, detail, Optional.empty());
  }

  /**
   * Returns this failure with a retry delay.
   *
   * @param delay delay, from now, after which a retry may succeed
   * @return changed copy
   */
  public Failure withRetryAfter(Duration delay) {
    return new Failure(type, outcome, detail, Optional.of(delay));
  }

  /**
   * Returns this failure with another outcome of the request.
   *
   * @param outcome new outcome
   * @return changed copy
   */
  public Failure withOutcome(Outcome outcome) {
    return new Failure(type, outcome, detail, retryAfter);
  }

  /**
   * Returns an exception that carries this failure, for example through a {@link
   * java.util.concurrent.CompletableFuture}.
   *
   * @return exception without a stack trace
   */
  public FailureException toException() {
    return new FailureException(this);
  }
}
