package org.snipewick.standins.server;

/** Token bucket that holds a quarter of a second's calls. */
public final class RateLimit {
  private static final double BURST_SECONDS = 0.25;
  private static final double MILLIS_PER_SECOND = 1000;

  private final double perSecond;
  private final double capacity;
  private double tokens;
  private long updatedMillis;

  /**
   * Creates a limit whose bucket is full.
   *
   * @param perSecond calls per second, positive
   * @param nowMillis current time in milliseconds
   */
  public RateLimit(double perSecond, long nowMillis) {
    if (!(perSecond > 0)) {
      throw new IllegalArgumentException("Rate must be positive");
    }
    this.perSecond = perSecond;
    this.capacity = Math.max(1, perSecond * BURST_SECONDS);
    this.tokens = capacity;
    this.updatedMillis = nowMillis;
  }

  /**
   * Takes one call out of the limit.
   *
   * @param nowMillis current time in milliseconds
   * @return whether the call is within the limit
   */
  public boolean tryTake(long nowMillis) {
    double gained = (nowMillis - updatedMillis) * perSecond / MILLIS_PER_SECOND;
    tokens = Math.min(capacity, tokens + gained);
    updatedMillis = nowMillis;
    if (tokens < 1) {
      return false;
    }
    tokens--;
    return true;
  }
}
