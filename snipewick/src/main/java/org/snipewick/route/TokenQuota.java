package org.snipewick.route;

/**
 * Limit on what a team may spend over all instances.
 *
 * @param perSecond amount a second; 0 for no limit
 * @param burst amount that may be spent at once beyond the rate
 * @param countsTokens whether the amount is counted in tokens instead of requests
 * @param plainTokens tokens that a request without token counts is taken for
 */
public record TokenQuota(double perSecond, double burst, boolean countsTokens, long plainTokens) {
  /** Quota without a limit. */
  public static final TokenQuota UNLIMITED = new TokenQuota(0, 0, false, 0);

  /** Checks the amounts. */
  public TokenQuota {
    if (perSecond < 0 || burst < 0 || plainTokens < 0) {
      throw new IllegalArgumentException("quota must not be negative");
    }
  }

  /**
   * Tells whether there is a limit.
   *
   * @return whether the rate is above 0
   */
  public boolean isLimited() {
    return perSecond > 0;
  }

  /**
   * Returns what a request spends.
   *
   * @param tokens prompt and output tokens that the request announces, 0 if it announces none
   * @return amount in the unit of this quota
   */
  public double cost(long tokens) {
    if (!countsTokens) {
      return 1;
    }
    return tokens > 0 ? tokens : plainTokens;
  }
}
