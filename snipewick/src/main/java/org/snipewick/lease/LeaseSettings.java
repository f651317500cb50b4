package org.snipewick.lease;

import static java.util.Objects.requireNonNull;

import java.time.Duration;

/**
 * Times of leases.
 *
 * @param duration how long a lease lasts after its last renewal
 * @param margin how long before its end the holder stops, against clocks that run at other rates
 * @param longestOrder longest time from the check of a lease until an order has taken effect
 * @param period time between renewals, and between looks at leases of others
 */
public record LeaseSettings(
    Duration duration, Duration margin, Duration longestOrder, Duration period) {

  /** Checks the parts. */
  public LeaseSettings {
    requireNonNull(duration, "duration");
    requireNonNull(margin, "margin");
    requireNonNull(longestOrder, "longestOrder");
    requireNonNull(period, "period");
    boolean renewable = period.multipliedBy(2).plus(margin).compareTo(duration) <= 0;
    if (period.isZero() || period.isNegative() || margin.isNegative() || !renewable) {
      throw new IllegalArgumentException("a lease must outlast its margin and two renewals");
    }
  }

  /**
   * Returns the defaults: 10, 2, 5 and 3 seconds.
   *
   * @return settings
   */
  public static LeaseSettings defaults() {
    return new LeaseSettings(
        Duration.ofSeconds(10),
        Duration.ofSeconds(2),
        Duration.ofSeconds(5),
        Duration.ofSeconds(3));
  }
}
