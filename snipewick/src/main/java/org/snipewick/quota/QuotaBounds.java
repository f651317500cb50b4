package org.snipewick.quota;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import org.snipewick.route.TokenQuota;

/**
 * How exactly quotas have to hold.
 *
 * @param window span over which spending is counted
 * @param tolerance share of a limit that may be exceeded
 * @param slack amount that may be exceeded beyond that
 */
public record QuotaBounds(Duration window, double tolerance, double slack) {
  /** The rest is for what instances spend before they have heard of each other. */
  private static final double USED_SHARE_OF_TOLERANCE = 0.8;

  private static final double MILLIS_PER_SECOND = 1000;

  /** Checks the parts. */
  public QuotaBounds {
    requireNonNull(window, "window");
    if (window.isZero() || window.isNegative() || tolerance < 0 || slack < 0) {
      throw new IllegalArgumentException("bounds of quotas out of range");
    }
  }

  /**
   * Returns what a team may spend in any window over all instances. The slack is an amount of
   * tokens; quotas of requests go without it.
   */
  double limit(TokenQuota quota) {
    double seconds = window.toMillis() / MILLIS_PER_SECOND;
    double exact = quota.perSecond() * seconds + quota.burst();
    double allowance = exact * tolerance + (quota.countsTokens() ? slack : 0);
    return exact + allowance * USED_SHARE_OF_TOLERANCE;
  }
}
