package org.snipewick.idempotency;

import com.fasterxml.jackson.annotation.JsonFormat;

/**
 * Period for which the claim records of a failure domain are complete, according to one member.
 *
 * @param initiallyEmpty whether no claims were recorded anywhere in the domain when it started
 * @param completeSinceEpochMillis time since which the member, or one that handed its records over
 *     to it, has been available as a witness of claims, in milliseconds since the Unix epoch;
 *     {@link Long#MAX_VALUE} if the member is inactive
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record Coverage(boolean initiallyEmpty, long completeSinceEpochMillis) {

  /**
   * Returns the combined coverage of two members.
   *
   * @param other coverage of another member
   * @return combined coverage
   */
  public Coverage join(Coverage other) {
    return new Coverage(
        initiallyEmpty || other.initiallyEmpty,
        Math.min(completeSinceEpochMillis, other.completeSinceEpochMillis));
  }

  /**
   * Returns whether a key without a record at any member has never been claimed. If no process was
   * lost, the domain must have been initially empty or the period must include the earliest claim.
   * If one was lost, the period must include the earliest claim: a claim in it was recorded by the
   * member or by two other processes. If more were lost, all records of a claim may be lost.
   *
   * @param earliestClaimEpochMillis earliest time of a claim that matters, in milliseconds since
   *     the Unix epoch
   * @param lostProcesses number of processes that were lost since then
   * @return whether the absence of a record proves the absence of a claim
   */
  public boolean provesAbsence(long earliestClaimEpochMillis, int lostProcesses) {
    boolean complete = completeSinceEpochMillis <= earliestClaimEpochMillis;
    return switch (lostProcesses) {
      case 0 -> initiallyEmpty || complete;
      case 1 -> complete;
      default -> false;
    };
  }
}
