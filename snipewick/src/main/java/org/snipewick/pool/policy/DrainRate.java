package org.snipewick.pool.policy;

import java.util.EnumMap;
import java.util.Map;
import org.snipewick.identity.Tier;

/**
 * Learned rates of work: what the endpoints of a pool take while something waits, and what arrives
 * in each tier. A forecast assumes that higher tiers go on arriving as they did of late, so that a
 * burst of a few seconds is not taken for a lasting load.
 */
public final class DrainRate {
  private static final double NANOS_PER_SECOND = 1e9;
  private static final double GRANT_DECAY = 0.99;
  private static final double ARRIVAL_TIME_CONSTANT_SECONDS = 30;
  private static final double MIN_RATE_SHARE = 0.05;
  private static final int MIN_GRANTS = 20;
  private static final double MIN_BACKLOG_SECONDS = 0.5;

  private final Map<Tier, Arrivals> arrivalsByTier = new EnumMap<>(Tier.class);
  private double grantedCost;
  private double backlogSeconds;
  private int grants;
  private long lastElapsedNanos;
  private boolean started;

  /** Creates rates that know nothing yet. */
  public DrainRate() {
    for (Tier tier : Tier.values()) {
      arrivalsByTier.put(tier, new Arrivals());
    }
  }

  /**
   * Notes that work arrived.
   *
   * @param tier its tier
   * @param cost its expected cost in weighted tokens
   * @param nowNanos current monotonic time, in nanoseconds
   */
  public void recordArrival(Tier tier, double cost, long nowNanos) {
    Arrivals of = arrivalsByTier.get(tier);
    of.cost = of.decayedCost(nowNanos) + cost;
    of.lastArrivalNanos = nowNanos;
  }

  /**
   * Notes that work was granted while something waited; older grants fade with each new one.
   *
   * @param cost its expected cost in weighted tokens
   */
  public void recordGrant(double cost) {
    grantedCost = grantedCost * GRANT_DECAY + cost;
    backlogSeconds *= GRANT_DECAY;
    grants++;
  }

  /**
   * Lets time pass.
   *
   * @param waiting whether something waited since the last call
   * @param nowNanos current monotonic time, in nanoseconds
   */
  public void advance(boolean waiting, long nowNanos) {
    if (started && waiting) {
      backlogSeconds += (nowNanos - lastElapsedNanos) / NANOS_PER_SECOND;
    }
    lastElapsedNanos = nowNanos;
    started = true;
  }

  /**
   * Forecasts the wait of a request.
   *
   * @param tier its tier
   * @param workAhead work of the same and of higher tiers that waits ahead of it, in weighted
   *     tokens
   * @param nowNanos current monotonic time, in nanoseconds
   * @return milliseconds; 0 while the rate is not known
   */
  public double waitMillis(Tier tier, double workAhead, long nowNanos) {
    if (grants < MIN_GRANTS || backlogSeconds < MIN_BACKLOG_SECONDS) {
      return 0;
    }
    double whole = grantedCost / backlogSeconds;
    double higher = 0;
    for (Tier other : Tier.values()) {
      if (other.isHigherThan(tier)) {
        higher += arrivalsByTier.get(other).decayedCost(nowNanos) / ARRIVAL_TIME_CONSTANT_SECONDS;
      }
    }
    return workAhead / Math.max(whole * MIN_RATE_SHARE, whole - higher) * 1_000;
  }

  /** Work that arrived in one tier, which fades with time. */
  private static final class Arrivals {
    private double cost;
    private long lastArrivalNanos;

    private double decayedCost(long nowNanos) {
      double seconds = Math.max(0, nowNanos - lastArrivalNanos) / NANOS_PER_SECOND;
      return cost * Math.exp(-seconds / ARRIVAL_TIME_CONSTANT_SECONDS);
    }
  }
}
