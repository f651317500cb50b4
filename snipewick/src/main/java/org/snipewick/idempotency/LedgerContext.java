package org.snipewick.idempotency;

import static java.util.Objects.requireNonNull;

import org.snipewick.failure.Failure;
import org.snipewick.failure.FailureType;
import org.snipewick.identity.InstanceId;
import org.snipewick.identity.RequestId;
import org.snipewick.membership.Membership;
import org.snipewick.time.TimerService;

/**
 * What the parts of the ledgers share.
 *
 * @param membership who is alive
 * @param timer time
 * @param settings times and limits
 */
record LedgerContext(Membership membership, TimerService timer, LedgerSettings settings) {

  LedgerContext {
    requireNonNull(membership, "membership");
    requireNonNull(timer, "timer");
    requireNonNull(settings, "settings");
  }

  /** Returns the end of a claim that begins now, on the monotonic clock. */
  long deadlineNanos() {
    return timer.nanoTime() + settings.claimTimeout().toNanos();
  }

  /** Tells whether the process that received a call still runs. */
  boolean isAlive(RequestId request) {
    return membership
        .view()
        .find(request.instance())
        .filter(member -> membership.view().isReachable(member.id()))
        .filter(
            member -> member.incarnation() == 0 || member.incarnation() == request.incarnation())
        .isPresent();
  }

  boolean isReachable(InstanceId instance) {
    return membership.view().isReachable(instance);
  }

  /** Returns the refusal of a claim; other calls with the key may have run. */
  Failure unavailable(String detail) {
    return Failure.unknown(FailureType.REGISTRAR_UNAVAILABLE, detail)
        .withRetryAfter(settings.retryAfter());
  }
}
