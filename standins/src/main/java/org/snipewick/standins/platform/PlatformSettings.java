package org.snipewick.standins.platform;

/**
 * Limits of the stand-in platform.
 *
 * @param writesPerSecond writes above which calls are answered with 429
 * @param readsPerSecond reads above which calls are answered with 429
 * @param listLagMillis time until a registration stands in the store, in milliseconds
 */
public record PlatformSettings(double writesPerSecond, double readsPerSecond, long listLagMillis) {
  private static final double WRITES_PER_SECOND = 400;
  private static final double READS_PER_SECOND = 2000;

  /** Checks the limits; what is missing, as a rate of 0, means the default. */
  public PlatformSettings {
    if (writesPerSecond < 0 || readsPerSecond < 0 || listLagMillis < 0) {
      throw new IllegalArgumentException("Limits must not be negative");
    }
    writesPerSecond = writesPerSecond == 0 ? WRITES_PER_SECOND : writesPerSecond;
    readsPerSecond = readsPerSecond == 0 ? READS_PER_SECOND : readsPerSecond;
  }

  /**
   * Returns the default limits.
   *
   * @return settings
   */
  public static PlatformSettings defaults() {
    return new PlatformSettings(0, 0, 0);
  }
}
