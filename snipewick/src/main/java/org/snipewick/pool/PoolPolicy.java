package org.snipewick.pool;

import static java.util.Objects.requireNonNull;

import java.util.function.Supplier;
import org.snipewick.pool.policy.Admission;
import org.snipewick.pool.policy.Ordering;
import org.snipewick.pool.policy.Placement;

/**
 * The parts of a scheduling policy that vary.
 *
 * @param ordering makes the order of waiting requests of a tier, one per tier and scheduler
 * @param admission whether a request may still be granted
 * @param placement which endpoint it gets
 * @param learnsLengths whether lengths of answers are learned; otherwise each is taken for as long
 *     as its caller allows
 * @param usesPrefixes whether cached prefixes count
 */
public record PoolPolicy(
    Supplier<Ordering> ordering,
    Admission admission,
    Placement placement,
    boolean learnsLengths,
    boolean usesPrefixes) {
  private static final double MARGIN_SHARE = 0.05;
  private static final double OTHERS_WEIGHT = 0.5;
  private static final double MISS_MILLIS = 60_000;

  /** Checks the parts. */
  public PoolPolicy {
    requireNonNull(ordering, "ordering");
    requireNonNull(admission, "admission");
    requireNonNull(placement, "placement");
  }

  /**
   * Returns the policy of the product.
   *
   * @return fair order, deadline admission, least cost placement, learned lengths and prefixes
   */
  public static PoolPolicy standard() {
    return new PoolPolicy(
        Ordering.FairAmongTeams::new,
        new Admission.WithinDeadline(MARGIN_SHARE),
        new Placement.LeastCost(OTHERS_WEIGHT, MISS_MILLIS),
        true,
        true);
  }

  /**
   * Returns this policy with another admission.
   *
   * @param changed admission
   * @return changed copy
   */
  public PoolPolicy withAdmission(Admission changed) {
    return new PoolPolicy(ordering, changed, placement, learnsLengths, usesPrefixes);
  }

  /**
   * Returns this policy with another placement.
   *
   * @param changed placement
   * @return changed copy
   */
  public PoolPolicy withPlacement(Placement changed) {
    return new PoolPolicy(ordering, admission, changed, learnsLengths, usesPrefixes);
  }

  /**
   * Returns this policy with or without learned lengths.
   *
   * @param learns whether lengths are learned
   * @return changed copy
   */
  public PoolPolicy withLearnedLengths(boolean learns) {
    return new PoolPolicy(ordering, admission, placement, learns, usesPrefixes);
  }

  /**
   * Returns this policy with or without regard to cached prefixes.
   *
   * @param uses whether prefixes count
   * @return changed copy
   */
  public PoolPolicy withPrefixes(boolean uses) {
    return new PoolPolicy(ordering, admission, placement, learnsLengths, uses);
  }
}
