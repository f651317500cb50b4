package org.snipewick.lease;

import static java.util.Objects.requireNonNull;

import java.time.Duration;

/**
 * Durations of leases.
 *
 * @param duration how long a lease lasts after its last renewal
 * @param clockDriftMargin how long before the end of its lease the holder stops, because the clocks
 *     of processes may run at different rates
 * @param maxOrderDuration longest time from the check of a lease until an order has taken effect
 * @param renewalPeriod time between renewals, and between reads of a lease that another process
 *     holds
 */
public record LeaseSettings(
    Duration duration,
    Duration clockDriftMargin,
    Duration maxOrderDuration,
    Duration renewalPeriod) {

  /**
   * Checks the settings.
   *
   * @throws IllegalArgumentException if {@code renewalPeriod} is not positive, {@code
   *     clockDriftMargin} is negative, or {@code duration} is shorter than {@code clockDriftMargin}
   *     plus two renewal periods
   */
  public LeaseSettings {
    requireNonNull(duration, "duration");
    requireNonNull(clockDriftMargin, "clockDriftMargin");
    requireNonNull(maxOrderDuration, "maxOrderDuration");
    requireNonNull(renewalPeriod, "renewalPeriod");
    boolean renewable =
        renewalPeriod.multipliedBy(2).plus(clockDriftMargin).compareTo(duration) <= 0;
    if (renewalPeriod.isZero()
        || renewalPeriod.isNegative()
        || clockDriftMargin.isNegative()
        || !renewable) {
      throw new IllegalArgumentException(
          "renewalPeriod must be positive, clockDriftMargin must not be negative, and duration "
              + "must be at least clockDriftMargin plus two renewal periods");
    }
  }

  /**
   * Returns the default settings: a duration of 10 seconds, a clock drift margin of 2 seconds, a
   * maximum order duration of 5 seconds and a renewal period of 3 seconds.
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
