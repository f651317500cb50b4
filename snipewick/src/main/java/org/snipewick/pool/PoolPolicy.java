package org.snipewick.pool;

import static java.util.Objects.requireNonNull;

import java.util.function.Supplier;
import org.snipewick.pool.policy.Admission;
import org.snipewick.pool.policy.Ordering;
import org.snipewick.pool.policy.Placement;

/**
 * Scheduling policy of a pool.
 *
 * @param ordering supplier of the order of waiting requests; called once per tier and scheduler,
 *     and again when a takeover ends
 * @param admission rule that decides whether a request may still be granted
 * @param placement rule that chooses the endpoint for a granted request
 * @param learnsLengths whether the lengths of answers are learned; otherwise each answer is assumed
 *     to be as long as its caller allows
 * @param prefixAware whether forecasts take cached prefixes into account
 */
public record PoolPolicy(
    Supplier<Ordering> ordering,
    Admission admission,
    Placement placement,
    boolean learnsLengths,
    boolean prefixAware) {
  /** Share of the remaining time that must be left at the forecast finish. */
  private static final double DEADLINE_MARGIN_SHARE = 0.05;

  /** Cost of one millisecond of delay of another request, in milliseconds of time to finish. */
  private static final double OTHERS_DELAY_WEIGHT = 0.5;

  /** Cost of a deadline miss forecast with probability 1, in milliseconds of time to finish. */
  private static final double DEADLINE_MISS_COST_MILLIS = 60_000;

  /** Requires all components to be non-null. */
  public PoolPolicy {
    requireNonNull(ordering, "ordering");
    requireNonNull(admission, "admission");
    requireNonNull(placement, "placement");
  }

  /**
   * Returns the default policy.
   *
   * @return policy with an order that is fair among teams, admission within deadlines, placement by
   *     least cost, learned lengths and prefix awareness
   */
  public static PoolPolicy standard() {
    return new PoolPolicy(
        Ordering.FairAmongTeams::new,
        new Admission.WithinDeadline(DEADLINE_MARGIN_SHARE),
        new Placement.LeastCost(OTHERS_DELAY_WEIGHT, DEADLINE_MISS_COST_MILLIS),
        true,
        true);
  }

  /**
   * Returns a copy with another admission rule.
   *
   * @param changed admission rule
   * @return changed copy
   */
  public PoolPolicy withAdmission(Admission changed) {
    return new PoolPolicy(ordering, changed, placement, learnsLengths, prefixAware);
  }

  /**
   * Returns a copy with another placement rule.
   *
   * @param changed placement rule
   * @return changed copy
   */
  public PoolPolicy withPlacement(Placement changed) {
    return new PoolPolicy(ordering, admission, changed, learnsLengths, prefixAware);
  }

  /**
   * Returns a copy with or without learned lengths.
   *
   * @param changed whether lengths are learned
   * @return changed copy
   */
  public PoolPolicy withLearnedLengths(boolean changed) {
    return new PoolPolicy(ordering, admission, placement, changed, prefixAware);
  }

  /**
   * Returns a copy with or without prefix awareness.
   *
   * @param changed whether forecasts take cached prefixes into account
   * @return changed copy
   */
  public PoolPolicy withPrefixAwareness(boolean changed) {
    return new PoolPolicy(ordering, admission, placement, learnsLengths, changed);
  }
}
