package org.snipewick.fleet;

import static java.util.Objects.requireNonNull;

import java.time.Duration;

/**
 * What an instance receives of all others.
 *
 * @param totals sum over the other instances whose reports are current
 * @param isHistoryKnown whether it includes what earlier processes of this instance spent
 * @param validity time for which the sum counts as current
 * @param lag typical time until what an instance reports has reached all others
 */
public record PeerTotals(Totals totals, boolean isHistoryKnown, Duration validity, Duration lag) {

  /** Checks that no component is null. */
  public PeerTotals {
    requireNonNull(totals, "totals");
    requireNonNull(validity, "validity");
    requireNonNull(lag, "lag");
  }
}
