package org.snipewick.quota;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.Map;
import org.snipewick.identity.TeamName;

/**
 * Sum of the spending of all peers.
 *
 * @param spent spending by team
 * @param instances number of peers whose current spending is included
 * @param withoutHistory number of those that started within the latest window and whose spending
 *     before that start is not included
 * @param isOwnHistoryKnown whether the spending of earlier processes of this instance is included
 * @param validity time for which the sum counts as current
 * @param lag typical time until the spending of a peer is included
 */
public record PeerSpending(
    Map<TeamName, QuotaLedger.Spent> spent,
    int instances,
    int withoutHistory,
    boolean isOwnHistoryKnown,
    Duration validity,
    Duration lag) {

  /** Checks and copies the components. */
  public PeerSpending {
    spent = Map.copyOf(spent);
    requireNonNull(validity, "validity");
    requireNonNull(lag, "lag");
  }

  /**
   * Returns the sum before any was received.
   *
   * @return sum over no peers
   */
  public static PeerSpending none() {
    return new PeerSpending(Map.of(), 0, 0, false, Duration.ZERO, Duration.ZERO);
  }
}
