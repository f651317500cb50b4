package org.snipewick.membership;

import static java.util.Objects.requireNonNull;

/** Known claim and heartbeat state of one other member; used by the timer's thread only. */
final class MemberRecord {
  private MemberClaim claim;
  private long lastHeardNanos;
  private long endedNanos;
  private long receivedSequence;
  private long acknowledgedSequence;

  MemberRecord(MemberClaim claim, long nowNanos) {
    this.claim = requireNonNull(claim, "claim");
    this.lastHeardNanos = nowNanos;
    this.endedNanos = nowNanos;
  }

  MemberClaim claim() {
    return claim;
  }

  /**
   * Replaces the claim; a new incarnation resets the heartbeat sequences of the earlier process.
   */
  void replace(MemberClaim changed, long nowNanos) {
    if (changed.incarnation() != claim.incarnation()) {
      receivedSequence = 0;
      acknowledgedSequence = 0;
      lastHeardNanos = nowNanos;
    }
    if (changed.isEnded() && !claim.isEnded()) {
      endedNanos = nowNanos;
    }
    if (!changed.isEnded() && claim.isEnded()) {
      lastHeardNanos = nowNanos;
    }
    claim = changed;
  }

  /** Records a heartbeat with its sequence and the sequence that it acknowledges. */
  void recordHeartbeat(long sequence, long acknowledged, long nowNanos) {
    lastHeardNanos = nowNanos;
    receivedSequence = Math.max(receivedSequence, sequence);
    acknowledgedSequence = Math.max(acknowledgedSequence, acknowledged);
  }

  /** Restarts the silence measurement after this process was paused and received nothing. */
  void resetSilence(long nowNanos) {
    lastHeardNanos = nowNanos;
  }

  /** Returns the nanoseconds since the last heartbeat. */
  long silenceNanos(long nowNanos) {
    return nowNanos - lastHeardNanos;
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
