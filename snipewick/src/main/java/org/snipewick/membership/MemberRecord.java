package org.snipewick.membership;

import static java.util.Objects.requireNonNull;

/**
 * Current claim about another member, and the state of the heartbeats exchanged with it. Used by
 * the timer's thread only.
 */
final class MemberRecord {
  private MemberClaim claim;

  /** Time of the last heartbeat, or of a later event that restarted the death timeout. */
  private long lastHeartbeatNanos;

  private long endedNanos;
  private long receivedSequence;
  private long acknowledgedSequence;

  MemberRecord(MemberClaim claim, long nowNanos) {
    this.claim = requireNonNull(claim, "claim");
    this.lastHeartbeatNanos = nowNanos;
    this.endedNanos = nowNanos;
  }

  MemberClaim claim() {
    return claim;
  }

  /**
   * Replaces the claim. A new incarnation resets the heartbeat sequences of the earlier process.
   * The death timeout restarts with a new incarnation and when the member is no longer ended.
   */
  void replace(MemberClaim changed, long nowNanos) {
    if (changed.incarnation() != claim.incarnation()) {
      receivedSequence = 0;
      acknowledgedSequence = 0;
      lastHeartbeatNanos = nowNanos;
    }
    if (changed.isEnded() && !claim.isEnded()) {
      endedNanos = nowNanos;
    }
    if (!changed.isEnded() && claim.isEnded()) {
      lastHeartbeatNanos = nowNanos;
    }
    claim = changed;
  }

  /**
   * Records a heartbeat with its sequence and the own sequence that it acknowledges, 0 if it
   * acknowledges none.
   */
  void recordHeartbeat(long sequence, long acknowledged, long nowNanos) {
    lastHeartbeatNanos = nowNanos;
    receivedSequence = Math.max(receivedSequence, sequence);
    acknowledgedSequence = Math.max(acknowledgedSequence, acknowledged);
  }

  /** Restarts the death timeout after this process was paused and received nothing. */
  void restartTimeout(long nowNanos) {
    lastHeartbeatNanos = nowNanos;
  }

  /** Returns the nanoseconds since the last heartbeat or restart of the death timeout. */
  long sinceHeartbeatNanos(long nowNanos) {
    return nowNanos - lastHeartbeatNanos;
  }

  /** Returns the nanoseconds since the claim last changed to an ended status. */
  long endedForNanos(long nowNanos) {
    return nowNanos - endedNanos;
  }

  /** Returns the highest sequence received from the member's process, 0 if none. */
  long receivedSequence() {
    return receivedSequence;
  }

  /** Returns the highest own sequence that the member has acknowledged, 0 if none. */
  long acknowledgedSequence() {
    return acknowledgedSequence;
  }
}
