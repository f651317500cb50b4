package org.snipewick.route;

/**
 * Limit on the spending of a team over all instances, counted in tokens or in requests.
 *
 * @param unitsPerSecond tokens or requests per second; 0 for no limit
 * @param burst tokens or requests that may be spent at once in addition to the rate
 * @param countsTokens whether the unit is tokens instead of requests
 * @param defaultTokensPerRequest tokens charged for a request that states no token counts
 */
public record TeamQuota(
    double unitsPerSecond, double burst, boolean countsTokens, long defaultTokensPerRequest) {
  /** Quota without a limit. */
  public static final TeamQuota UNLIMITED = new TeamQuota(0, 0, false, 0);

  /**
   * Checks the components.
   *
   * @throws IllegalArgumentException if an amount is negative
   */
  public TeamQuota {
    if (unitsPerSecond < 0 || burst < 0 || defaultTokensPerRequest < 0) {
      throw new IllegalArgumentException(
          "unitsPerSecond, burst and defaultTokensPerRequest must not be negative");
    }
  }

  /**
   * Returns whether there is a limit.
   *
   * @return whether the rate is above 0
   */
  public boolean isLimited() {
    return unitsPerSecond > 0;
  }

  /**
   * Returns the amount that is charged for a request.
   *
   * @param tokens prompt and output tokens stated by the request; 0 if it states none
   * @return amount in the unit of this quota, 1 if that is requests
   */
  public double cost(long tokens) {
    if (!countsTokens) {
      return 1;
    }
    return tokens > 0 ? tokens : defaultTokensPerRequest;
  }
}
