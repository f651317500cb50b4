package org.snipewick.quota;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import org.snipewick.route.TeamQuota;

/**
 * Accuracy with which quotas must be enforced.
 *
 * @param window length of the sliding window over which spending is summed, positive
 * @param tolerance share of a limit by which it may be exceeded, not negative
 * @param slack tokens by which a limit may be exceeded in addition, not negative
 */
public record QuotaBounds(Duration window, double tolerance, double slack) {
  /**
   * Share of tolerance and slack that instances use; the rest covers what they spend before they
   * receive each other's reports.
   */
  private static final double USED_SHARE_OF_TOLERANCE = 0.8;

  private static final double MILLIS_PER_SECOND = 1000;

  /**
   * Checks the components.
   *
   * @throws IllegalArgumentException if the window is not positive or another component is negative
   */
  public QuotaBounds {
    requireNonNull(window, "window");
    if (window.isZero() || window.isNegative() || tolerance < 0 || slack < 0) {
      throw new IllegalArgumentException(
          "window must be positive, tolerance and slack must not be negative");
    }
  }

  /**
   * Returns what a team may spend in any window over all instances, in the unit of the quota. The
   * slack is an amount of tokens and is not added to quotas that count requests.
   */
  double limit(TeamQuota quota) {
    double seconds = window.toMillis() / MILLIS_PER_SECOND;
    double exact = quota.unitsPerSecond() * seconds + quota.burst();
    double allowance = exact * tolerance + (quota.countsTokens() ? slack : 0);
    return exact + allowance * USED_SHARE_OF_TOLERANCE;
  }
}
