package org.snipewick.standins.platform;

/**
 * Rate limits and lag of the stand-in platform.
 *
 * @param writesPerSecond writes per second above which calls are rejected with 429; 0 for the
 *     default
 * @param readsPerSecond reads per second above which calls are rejected with 429; 0 for the default
 * @param listLagMillis delay before a registration becomes visible in the store, in milliseconds
 */
public record PlatformSettings(double writesPerSecond, double readsPerSecond, long listLagMillis) {
  private static final double DEFAULT_WRITES_PER_SECOND = 400;
  private static final double DEFAULT_READS_PER_SECOND = 2000;

  /**
   * Checks the limits. A missing rate is read as 0 and replaced by the default.
   *
   * @throws IllegalArgumentException if a value is negative
   */
  public PlatformSettings {
    if (writesPerSecond < 0 || readsPerSecond < 0 || listLagMillis < 0) {
      throw new IllegalArgumentException("Rates and lag must not be negative");
    }
    writesPerSecond = writesPerSecond == 0 ? DEFAULT_WRITES_PER_SECOND : writesPerSecond;
    readsPerSecond = readsPerSecond == 0 ? DEFAULT_READS_PER_SECOND : readsPerSecond;
  }

  /**
   * Returns settings with the default rates and no lag.
   *
   * @return default settings
   */
  public static PlatformSettings defaults() {
    return new PlatformSettings(0, 0, 0);
  }
}
