package org.snipewick.fleet;

import com.fasterxml.jackson.annotation.JsonFormat;
import java.util.HashMap;
import java.util.Map;

/**
 * Sum over the reports of several instances.
 *
 * @param instances number of instances
 * @param slotHolders names of the instances that hold slots of quotas, by the number of the slot
 * @param inFlight number of requests in flight by endpoint; endpoints without any are omitted
 * @param limits latest statement of each endpoint on its limit, if any was made lately
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record Totals(
    int instances,
    Map<Integer, String> slotHolders,
    Map<String, Integer> inFlight,
    Map<String, EndpointLimit> limits) {
  private static final Totals EMPTY = new Totals(0, Map.of(), Map.of());

  /** Copies the maps. */
  public Totals {
    slotHolders = Map.copyOf(slotHolders);
    inFlight = Map.copyOf(inFlight);
    limits = Map.copyOf(limits);
  }

  /**
   * Creates totals without limits of endpoints.
   *
   * @param instances number of instances
   * @param slotHolders names of the instances that hold slots of quotas
   * @param inFlight number of requests in flight by endpoint
   */
  public Totals(int instances, Map<Integer, String> slotHolders, Map<String, Integer> inFlight) {
    this(instances, slotHolders, inFlight, Map.of());
  }

  /**
   * Returns the totals of no instance.
   *
   * @return totals without any load
   */
  public static Totals empty() {
    return EMPTY;
  }

  /**
   * Returns the totals of two disjoint sets of instances.
   *
   * @param other totals of other instances
   * @return sums
   */
  public Totals plus(Totals other) {
    if (other.equals(EMPTY)) {
      return this;
    }
    Map<Integer, String> allHolders = new HashMap<>(slotHolders);
    allHolders.putAll(other.slotHolders);
    Map<String, Integer> allInFlight = new HashMap<>(inFlight);
    other.inFlight.forEach((endpoint, count) -> allInFlight.merge(endpoint, count, Integer::sum));
    Map<String, EndpointLimit> allLimits = new HashMap<>(limits);
    other.limits.forEach(
        (endpoint, limit) -> allLimits.merge(endpoint, limit, EndpointLimit::latest));
    return new Totals(instances + other.instances, allHolders, allInFlight, allLimits);
  }

  /** Returns the totals as they are after a time in which they were kept. */
  Totals aged(long millis) {
    if (limits.isEmpty()) {
      return this;
    }
    Map<String, EndpointLimit> aged = new HashMap<>(limits);
    aged.replaceAll((endpoint, limit) -> limit.aged(millis));
    return new Totals(instances, slotHolders, inFlight, aged);
  }

  /**
   * Returns the totals without a part that they include. Limits stay: they are no sums, and the
   * instances of the part know theirs.
   *
   * @param part totals of some of the instances
   * @return differences
   */
  Totals minus(Totals part) {
    Map<Integer, String> otherHolders = new HashMap<>(slotHolders);
    part.slotHolders.forEach(otherHolders::remove);
    Map<String, Integer> remaining = new HashMap<>(inFlight);
    part.inFlight.forEach(
        (endpoint, count) ->
            remaining.computeIfPresent(
                endpoint, (key, sum) -> sum.equals(count) ? null : sum - count));
    return new Totals(instances - part.instances, otherHolders, remaining, limits);
  }
}
