package org.snipewick.fleet;

import static java.util.Objects.requireNonNull;

import java.time.Duration;

/**
 * What an instance receives of all others.
 *
 * @param totals sum over the other instances whose reports are current
 * @param validity time for which the sum counts as current
 */
public record PeerTotals(Totals totals, Duration validity) {

  /** Checks that no component is null. */
  public PeerTotals {
    requireNonNull(totals, "totals");
    requireNonNull(validity, "validity");
  }
}
