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
   * for the outcome not-run, since a duplicate request with the key is answered or runs once.
   */
  static Failure withOutcomeOfKey(CallContext context, Failure failure) {
    boolean unproven =
        failure.outcome() == Outcome.NOT_RUN
            && !context.lifecycle().isKeyLookupStarted()
            && hasKey(context.request());
    return unproven ? RetryAdvice.withRetryAfter(failure).withOutcome(Outcome.UNKNOWN) : failure;
  }

  private static boolean hasKey(CallerRequest request) {
    try {
      return CallerHeaders.key(request).isPresent();
    } catch (FailureException malformed) {
      return false; // A call with a malformed key never runs.
    }
  }
}
