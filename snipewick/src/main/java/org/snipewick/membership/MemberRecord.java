package org.snipewick.membership;

import static java.util.Objects.requireNonNull;

/** What this instance remembers of one other member; used by the timer's thread only. */
final class MemberRecord {
  private Claim claim;
  private long lastHeardNanos;
  private long endedNanos;
  private long receivedSequence;
  private long acknowledgedSequence;

  MemberRecord(Claim claim, long nowNanos) {
    this.claim = requireNonNull(claim, "claim");
    this.lastHeardNanos = nowNanos;
    this.endedNanos = nowNanos;
  }

  Claim claim() {
    return claim;
  }

  /** Replaces the claim; what was received from an earlier process no longer counts. */
  void replace(Claim changed, long nowNanos) {
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

  void heard(long sequence, long acknowledged, long nowNanos) {
    lastHeardNanos = nowNanos;
    receivedSequence = Math.max(receivedSequence, sequence);
    acknowledgedSequence = Math.max(acknowledgedSequence, acknowledged);
  }

  /** Restarts the measurement of silence, as this instance was not able to listen. */
  void forgiveSilence(long nowNanos) {
    lastHeardNanos = nowNanos;
  }

  long silenceNanos(long nowNanos) {
    return nowNanos - lastHeardNanos;
  }

  long endedForNanos(long nowNanos) {
    return nowNanos - endedNanos;
  }

  long receivedSequence() {
    return receivedSequence;
  }

  long acknowledgedSequence() {
    return acknowledgedSequence;
  }
}
