package org.snipewick.request;

import org.snipewick.failure.Failure;
import org.snipewick.failure.FailureException;
import org.snipewick.failure.Outcome;

/** What a failed call may say of earlier calls with its idempotency key. */
final class KeyOutcome {
  private KeyOutcome() {}

  /**
   * Corrects a failure from before the key was looked up: an earlier call with it may have run. The
   * time to come back stays, since a repeat with the key is answered or runs once.
   */
  static Failure correct(CallContext context, Failure failure) {
    boolean unproved =
        failure.outcome() == Outcome.NOT_RUN
            && !context.lifecycle().isKeyAsked()
            && hasKey(context.request());
    return unproved ? RetryAdvice.complete(failure).withOutcome(Outcome.UNKNOWN) : failure;
  }

  private static boolean hasKey(CallerRequest request) {
    try {
      return CallerHeaders.key(request).isPresent();
    } catch (FailureException malformed) {
      return false; // No call has ever run with such a key.
    }
  }
}
