package org.snipewick.idempotency;

import com.fasterxml.jackson.annotation.JsonFormat;

/**
 * For which time the memory of a failure domain is complete, as far as one member can tell.
 *
 * @param provenEmpty whether no claims were remembered anywhere in the domain when it started
 * @param presentFromEpochMillis since when the member could be a witness of every claim, in
 *     milliseconds since the Unix epoch
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record Coverage(boolean provenEmpty, long presentFromEpochMillis) {

  /**
   * Returns what two members cover together.
   *
   * @param other coverage of another member
   * @return combined coverage
   */
  public Coverage join(Coverage other) {
    return new Coverage(
        provenEmpty || other.provenEmpty,
        Math.min(presentFromEpochMillis, other.presentFromEpochMillis));
  }

  /**
   * Tells whether a key that nobody knows has never been claimed.
   *
   * @param earliestClaimEpochMillis earliest time of a claim that matters
   * @param losses members that were lost since then
   * @return whether absence of a record is proof
   */
  public boolean provesAbsence(long earliestClaimEpochMillis, int losses) {
    boolean present = presentFromEpochMillis <= earliestClaimEpochMillis;
    return switch (losses) {
      case 0 -> provenEmpty || present;
      case 1 -> present;
      default -> false;
    };
  }
}
