package org.snipewick.pool;

/**
 * Settings of all schedulers.
 *
 * @param grantValidMillis validity period of a grant from its arrival, in milliseconds
 * @param takeoverGraceMillis grace period in which a new scheduler grants nothing, to receive
 *     reports of running requests first, in milliseconds
 * @param conservativeQuantile quantile of the answer length for conservative forecasts: the
 *     probability with which an answer is no longer than forecast, above 0 to 1
 * @param reservedSlotShare share of an endpoint's slots reserved for the highest tier, 0 to below 1
 * @param outputTokenWeight cost of an output token, in prompt tokens
 */
public record SchedulerSettings(
    long grantValidMillis,
    long takeoverGraceMillis,
    double conservativeQuantile,
    double reservedSlotShare,
    double outputTokenWeight) {

  /**
   * Checks the ranges.
   *
   * @throws IllegalArgumentException if a component is out of its range
   */
  public SchedulerSettings {
    if (grantValidMillis <= 0 || takeoverGraceMillis < 0 || outputTokenWeight <= 0) {
      throw new IllegalArgumentException(
          "grantValidMillis and outputTokenWeight must be > 0, takeoverGraceMillis must be >= 0");
    }
    if (!(conservativeQuantile > 0 && conservativeQuantile <= 1)
        || !(reservedSlotShare >= 0 && reservedSlotShare < 1)) {
      throw new IllegalArgumentException(
          "conservativeQuantile must be in (0, 1], reservedSlotShare in [0, 1)");
    }
  }

  /**
   * Returns the default settings.
   *
   * @return settings
   */
  public static SchedulerSettings defaults() {
    return new SchedulerSettings(2_000, 500, 0.8, 0.1, 6);
  }

  /**
   * Returns a copy with another grace period.
   *
   * @param millis grace period, in milliseconds
   * @return changed copy
   */
  public SchedulerSettings withTakeoverGraceMillis(long millis) {
    return new SchedulerSettings(
        grantValidMillis, millis, conservativeQuantile, reservedSlotShare, outputTokenWeight);
  }

  /**
   * Returns a copy with another quantile for conservative forecasts.
   *
   * @param quantile quantile of the answer length, above 0 to 1
   * @return changed copy
   */
  public SchedulerSettings withConservativeQuantile(double quantile) {
    return new SchedulerSettings(
        grantValidMillis, takeoverGraceMillis, quantile, reservedSlotShare, outputTokenWeight);
  }
}
