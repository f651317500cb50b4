package org.snipewick.idempotency;

import static java.util.Objects.requireNonNull;

import org.snipewick.failure.Failure;
import org.snipewick.failure.FailureType;
import org.snipewick.identity.InstanceId;
import org.snipewick.identity.RequestId;
import org.snipewick.membership.Membership;
import org.snipewick.time.TimerService;

/**
 * Dependencies and settings that the parts of the ledgers share.
 *
 * @param membership view of the members
 * @param timer clock and timers
 * @param settings retention times and timeouts
 */
record LedgerContext(Membership membership, TimerService timer, LedgerSettings settings) {

  LedgerContext {
    requireNonNull(membership, "membership");
    requireNonNull(timer, "timer");
    requireNonNull(settings, "settings");
  }

  /** Returns the deadline of a claim that begins now, in nanoseconds of the monotonic clock. */
  long deadlineNanos() {
    return timer.nanoTime() + settings.claimTimeout().toNanos();
  }

  /**
   * Returns whether the process that received a request is presumed running: its instance is
   * reachable in the current view and not known to have restarted.
   */
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

  /**
   * Returns the failure of a refused claim; its outcome is unknown, as other requests with the key
   * may have run.
   */
  Failure unavailable(String detail) {
    return Failure.unknown(FailureType.REGISTRAR_UNAVAILABLE, detail)
        .withRetryAfter(settings.retryAfter());
  }
}
