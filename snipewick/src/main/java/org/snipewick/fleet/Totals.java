package org.snipewick.fleet;

import com.fasterxml.jackson.annotation.JsonFormat;
import java.util.HashMap;
import java.util.Map;
import java.util.function.BinaryOperator;

/**
 * Load and spending of a set of instances.
 *
 * @param instances number of instances whose reports are included
 * @param withoutHistory number of those that started within the latest window of quotas and whose
 *     spending before that start is not included
 * @param spent spending by team; that of instances that do not report any more is included as long
 *     as it lies within the window
 * @param inFlight number of requests in flight by endpoint; endpoints without any are omitted
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record Totals(
    int instances, int withoutHistory, Map<String, Spent> spent, Map<String, Integer> inFlight) {
  private static final Totals EMPTY = new Totals(0, 0, Map.of(), Map.of());

  /** Copies the maps. */
  public Totals {
    spent = Map.copyOf(spent);
    inFlight = Map.copyOf(inFlight);
  }

  /**
   * Spending of a team, in the unit of its quota.
   *
   * @param window amount within the latest window of quotas
   * @param lastSecond amount within the latest second
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  public record Spent(double window, double lastSecond) {

    private Spent plus(Spent other) {
      return new Spent(window + other.window, lastSecond + other.lastSecond);
    }

    private Spent minus(Spent other) {
      return new Spent(
          Math.max(0, window - other.window), Math.max(0, lastSecond - other.lastSecond));
    }
  }

  /**
   * Returns the totals of no instance.
   *
   * @return totals without any load or spending
   */
  public static Totals empty() {
    return EMPTY;
  }

  /**
   * Returns the spending of instances that do not report any more.
   *
   * @param spent spending before their last report
   * @return totals that include no instance
   */
  static Totals ofPastSpending(Map<String, Spent> spent) {
    Map<String, Spent> past = new HashMap<>();
    spent.forEach((team, amounts) -> past.put(team, new Spent(amounts.window(), 0)));
    return new Totals(0, 0, past, Map.of());
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
    return new Totals(
        instances + other.instances,
        withoutHistory + other.withoutHistory,
        sums(spent, other.spent, Spent::plus),
        sums(inFlight, other.inFlight, Integer::sum));
  }

  /**
   * Returns the totals without a part that they include.
   *
   * @param part totals of some of the instances
   * @return differences
   */
  Totals minus(Totals part) {
    Map<String, Spent> remainingSpent = new HashMap<>(spent);
    part.spent.forEach(
        (team, amounts) -> remainingSpent.computeIfPresent(team, (key, sum) -> sum.minus(amounts)));
    Map<String, Integer> remainingInFlight = new HashMap<>(inFlight);
    part.inFlight.forEach(
        (endpoint, count) ->
            remainingInFlight.computeIfPresent(
                endpoint, (key, sum) -> sum.equals(count) ? null : sum - count));
    return new Totals(
        instances - part.instances,
        withoutHistory - part.withoutHistory,
        remainingSpent,
        remainingInFlight);
  }

  private static <V> Map<String, V> sums(
      Map<String, V> first, Map<String, V> second, BinaryOperator<V> sum) {
    Map<String, V> sums = new HashMap<>(first);
    second.forEach((key, value) -> sums.merge(key, value, sum));
    return sums;
  }
}
