package org.snipewick.quota;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.snipewick.identity.TeamName;

/** What earlier processes of all instances spent before this process started. */
public sealed interface EarlierSpending {

  /**
   * Returns the greatest amount that may still lie within the window of quotas.
   *
   * @param team team
   * @param limit what the team may spend in a window
   * @param uptimeNanos time since the start of this process, in nanoseconds
   * @return amount in the unit of the quota
   */
  double unexpired(TeamName team, double limit, long uptimeNanos);

  /**
   * Returns the spending without any record of it: the whole limit may have been spent in the last
   * moment.
   *
   * @return spending up to the limit
   */
  static EarlierSpending unknown() {
    return new Unknown();
  }

  /**
   * Returns the spending that was recorded.
   *
   * @param bySecond amounts by team for each second before the record was written, the latest
   *     second first; covers a whole window
   * @return recorded spending
   */
  static EarlierSpending recorded(Map<TeamName, List<Double>> bySecond) {
    return new Recorded(bySecond);
  }

  /** Spending without a record. */
  record Unknown() implements EarlierSpending {

    @Override
    public double unexpired(TeamName team, double limit, long uptimeNanos) {
      return limit;
    }
  }

  /**
   * Recorded spending. Its times count from the start of this process, which is later than the end
   * of the earlier ones, so that no amount expires too early.
   *
   * @param bySecond amounts by team and second, the latest second first
   */
  record Recorded(Map<TeamName, List<Double>> bySecond) implements EarlierSpending {
    /** Mean part of a second that passed between the last record and the end of a process. */
    private static final double UNRECORDED_SECONDS = 0.5;

    /** Copies the amounts. */
    public Recorded {
      bySecond = Map.copyOf(bySecond);
    }

    @Override
    public double unexpired(TeamName team, double limit, long uptimeNanos) {
      List<Double> amounts = bySecond.getOrDefault(team, List.of());
      long expired = uptimeNanos / Duration.ofSeconds(1).toNanos();
      List<Double> unexpired = new ArrayList<>();
      for (int second = 0; second < amounts.size() - expired; second++) {
        unexpired.add(amounts.get(second));
      }
      double sum = unexpired.stream().mapToDouble(Double::doubleValue).sum();
      double unrecorded = unexpired.isEmpty() ? 0 : unexpired.get(0) * UNRECORDED_SECONDS;
      return Math.min(limit, sum + unrecorded);
    }
  }
}
