package org.snipewick.standins.server;

/**
 * Token bucket that holds the calls of a quarter of a second, but at least one. Not safe for use by
 * several threads.
 */
public final class RateLimit {
  private static final double BURST_SECONDS = 0.25;
  private static final double MILLIS_PER_SECOND = 1000;

  private final double callsPerSecond;
  private final double capacityTokens;
  private double tokens;
  private long updatedEpochMillis;

  /**
   * Creates a limit with a full bucket.
   *
   * @param callsPerSecond calls per second, positive
   * @param nowEpochMillis current time in milliseconds since the epoch
   * @throws IllegalArgumentException if the rate is not positive
   */
  public RateLimit(double callsPerSecond, long nowEpochMillis) {
    if (!(callsPerSecond > 0)) {
      throw new IllegalArgumentException("Rate must be positive");
    }
    this.callsPerSecond = callsPerSecond;
    this.capacityTokens = Math.max(1, callsPerSecond * BURST_SECONDS);
    this.tokens = capacityTokens;
    this.updatedEpochMillis = nowEpochMillis;
  }

  /**
   * Takes one token if the bucket holds one.
   *
   * @param nowEpochMillis current time in milliseconds since the epoch
   * @return whether the call is within the limit
   */
  public boolean tryTake(long nowEpochMillis) {
    double refilledTokens =
        (nowEpochMillis - updatedEpochMillis) * callsPerSecond / MILLIS_PER_SECOND;
    tokens = Math.min(capacityTokens, tokens + refilledTokens);
    updatedEpochMillis = nowEpochMillis;
    if (tokens < 1) {
      return false;
    }
    tokens--;
    return true;
  }
}
