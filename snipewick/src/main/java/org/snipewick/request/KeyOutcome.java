package org.snipewick.request;

import org.snipewick.failure.Failure;
import org.snipewick.failure.FailureException;
import org.snipewick.failure.Outcome;

/** Corrects the outcome of a call that failed before its idempotency key was looked up. */
final class KeyOutcome {
  private KeyOutcome() {}

  /**
   * Returns a failure with outcome unknown instead of not-run if the call has an idempotency key
   * that was not looked up: an earlier call with the key may have run. The retry delay is set as
   * for the outcome not-run, since a retry is safe: a request with the key runs at most once.
   */
  static Failure withOutcomeOfKey(CallContext context, Failure failure) {
    boolean mayHaveRunBefore =
        failure.outcome() == Outcome.NOT_RUN
            && !context.lifecycle().isKeyLookupStarted()
            && hasKey(context.request());
    return mayHaveRunBefore
        ? RetryAdvice.withRetryAfter(failure).withOutcome(Outcome.UNKNOWN)
        : failure;
  }

  private static boolean hasKey(CallerRequest request) {
    try {
      return CallerHeaders.key(request).isPresent();
    } catch (FailureException malformed) {
      return false; // A call with a malformed key never runs.
    }
  }
}
