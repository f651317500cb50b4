package org.snipewick.idempotency;

import com.fasterxml.jackson.annotation.JsonFormat;

/**
 * Period for which the claim records of a failure domain are complete, according to one member.
 *
 * @param initiallyEmpty whether no claims were recorded anywhere in the domain when it started
 * @param completeSinceEpochMillis time since which the member could be a witness of every claim, in
 *     milliseconds since the Unix epoch
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
   * Returns whether a key without a record at any member has never been claimed.
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
