package org.snipewick.pool;

/**
 * Settings of the schedulers.
 *
 * @param grantValidMillis how long a grant may be used after it arrived, in milliseconds
 * @param takeoverGraceMillis how long a new scheduler waits for reports of running work before it
 *     grants, in milliseconds
 * @param safeShare probability with which answers are to be no longer than forecast, 0 to 1
 * @param headRoomShare share of an endpoint's slots kept for the highest tier, 0 to 1
 * @param outputTokenWeight cost of an output token in prompt tokens
 */
public record SchedulerSettings(
    long grantValidMillis,
    long takeoverGraceMillis,
    double safeShare,
    double headRoomShare,
    double outputTokenWeight) {

  /** Checks the ranges. */
  public SchedulerSettings {
    if (grantValidMillis <= 0 || takeoverGraceMillis < 0 || outputTokenWeight <= 0) {
      throw new IllegalArgumentException("times and weights must be positive");
    }
    if (!(safeShare > 0 && safeShare <= 1) || !(headRoomShare >= 0 && headRoomShare < 1)) {
      throw new IllegalArgumentException("shares must be within 0 and 1");
    }
  }

  /**
   * Returns the defaults.
   *
   * @return settings
   */
  public static SchedulerSettings defaults() {
    return new SchedulerSettings(2_000, 500, 0.8, 0.1, 6);
  }

  /**
   * Returns these settings with another grace period.
   *
   * @param millis grace period, in milliseconds
   * @return changed copy
   */
  public SchedulerSettings withTakeoverGraceMillis(long millis) {
    return new SchedulerSettings(
        grantValidMillis, millis, safeShare, headRoomShare, outputTokenWeight);
  }

  /**
   * Returns these settings with another safety of length forecasts.
   *
   * @param share probability, 0 to 1
   * @return changed copy
   */
  public SchedulerSettings withSafeShare(double share) {
    return new SchedulerSettings(
        grantValidMillis, takeoverGraceMillis, share, headRoomShare, outputTokenWeight);
  }
}
