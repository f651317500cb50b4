package org.snipewick.pool.policy;

import java.util.EnumMap;
import java.util.Map;
import org.snipewick.identity.Tier;

/**
 * Learned drain rate of a pool while it has a backlog, and arrival rate of each tier, both in
 * weighted tokens per second ({@link QueuedRequest#costTokens}). Forecasts assume that requests of
 * higher tiers keep arriving at their average rate of about the last 30 seconds, so that a burst of
 * a few seconds is not taken for a lasting load.
 */
public final class DrainRate {
  private static final double NANOS_PER_SECOND = 1e9;

  /** Factor on the cost and time of older grants with each new one; about 100 grants count. */
  private static final double GRANT_DECAY_FACTOR = 0.99;

  /** Time in which the weight of an arrival decays to 1/e. */
  private static final double ARRIVAL_TIME_CONSTANT_SECONDS = 30;

  /** Minimum share of the drain rate that is assumed to remain after requests of higher tiers. */
  private static final double MIN_RATE_SHARE = 0.05;

  /** Number of grants below which there is no forecast. */
  private static final int MIN_GRANTS = 20;

  /** Time with a backlog below which there is no forecast. */
  private static final double MIN_BACKLOG_SECONDS = 0.5;

  private final Map<Tier, Arrivals> arrivalsByTier = new EnumMap<>(Tier.class);
  private double grantedCostTokens;
  private double backlogSeconds;
  private int grants;
  private long lastAdvanceNanos;
  private boolean started;

  /** Creates an instance without observations. */
  public DrainRate() {
    for (Tier tier : Tier.values()) {
      arrivalsByTier.put(tier, new Arrivals());
    }
  }

  /**
   * Records the arrival of a request.
   *
   * @param tier tier of the request
   * @param costTokens expected cost of the request, in weighted tokens
   * @param nowNanos current monotonic time, in nanoseconds
   */
  public void recordArrival(Tier tier, double costTokens, long nowNanos) {
    Arrivals tierArrivals = arrivalsByTier.get(tier);
    tierArrivals.costTokens = tierArrivals.decayedCostTokens(nowNanos) + costTokens;
    tierArrivals.lastArrivalNanos = nowNanos;
  }

  /**
   * Records a grant made while requests waited. The weight of older grants decays with each new
   * one.
   *
   * @param costTokens expected cost of the request, in weighted tokens
   */
  public void recordGrant(double costTokens) {
    grantedCostTokens = grantedCostTokens * GRANT_DECAY_FACTOR + costTokens;
    backlogSeconds *= GRANT_DECAY_FACTOR;
    grants++;
  }

  /**
   * Advances the time; time in which requests waited counts towards the drain rate.
   *
   * @param waiting whether requests waited since the last call
   * @param nowNanos current monotonic time, in nanoseconds
   */
  public void advance(boolean waiting, long nowNanos) {
    if (started && waiting) {
      backlogSeconds += (nowNanos - lastAdvanceNanos) / NANOS_PER_SECOND;
    }
    lastAdvanceNanos = nowNanos;
    started = true;
  }

  /**
   * Returns the forecast waiting time of a request.
   *
   * @param tier tier of the request
   * @param costTokensAhead cost of the requests of the same and of higher tiers that wait ahead of
   *     it, in weighted tokens
   * @param nowNanos current monotonic time, in nanoseconds
   * @return milliseconds; 0 while there are too few observations
   */
  public double waitMillis(Tier tier, double costTokensAhead, long nowNanos) {
    if (grants < MIN_GRANTS || backlogSeconds < MIN_BACKLOG_SECONDS) {
      return 0;
    }
    double drainRate = grantedCostTokens / backlogSeconds;
    double higherTierArrivalRate = 0;
    for (Tier other : Tier.values()) {
      if (other.isHigherThan(tier)) {
        higherTierArrivalRate +=
            arrivalsByTier.get(other).decayedCostTokens(nowNanos) / ARRIVAL_TIME_CONSTANT_SECONDS;
      }
    }
    return costTokensAhead
        / Math.max(drainRate * MIN_RATE_SHARE, drainRate - higherTierArrivalRate)
        * 1_000;
  }

  /** Cost of the requests that arrived in one tier, decaying exponentially with time. */
  private static final class Arrivals {
    private double costTokens;
    private long lastArrivalNanos;

    private double decayedCostTokens(long nowNanos) {
      double seconds = Math.max(0, nowNanos - lastArrivalNanos) / NANOS_PER_SECOND;
      return costTokens * Math.exp(-seconds / ARRIVAL_TIME_CONSTANT_SECONDS);
    }
  }
}
