package org.snipewick.pool.policy;

import java.util.HashMap;
import java.util.Map;
import org.snipewick.identity.TeamName;
import org.snipewick.pool.WorkRequest;

/** Order of the waiting requests of one tier. Implementations may keep state. */
public sealed interface Ordering {

  /**
   * Gives a new request its place.
   *
   * @param work request
   * @param cost its expected cost in weighted tokens
   * @param arrivalNanos when it came to the system, on the scheduler's monotonic clock
   * @return place; lower is earlier
   */
  double place(WorkRequest work, double cost, long arrivalNanos);

  /**
   * Notes that the request with a place was granted.
   *
   * @param place its place
   */
  void granted(double place);

  /** Fair among teams: each team's requests are spaced by their cost on a common virtual clock. */
  final class FairAmongTeams implements Ordering {
    private static final int PRUNE_THRESHOLD_TEAMS = 10_000;

    private final Map<TeamName, Double> nextPositionByTeam = new HashMap<>();
    private double virtualTime;

    /** Creates an order in which no team has been served. */
    public FairAmongTeams() {}

    @Override
    public double place(WorkRequest work, double cost, long arrivalNanos) {
      if (nextPositionByTeam.size() > PRUNE_THRESHOLD_TEAMS) {
        nextPositionByTeam.values().removeIf(place -> place <= virtualTime);
      }
      double start = Math.max(virtualTime, nextPositionByTeam.getOrDefault(work.team(), 0.0));
      nextPositionByTeam.put(work.team(), start + cost);
      return start;
    }

    @Override
    public void granted(double place) {
      virtualTime = Math.max(virtualTime, place);
    }
  }

  /** First come, first served. */
  final class ByArrival implements Ordering {

    /** Creates the order. */
    public ByArrival() {}

    @Override
    public double place(WorkRequest work, double cost, long arrivalNanos) {
      return arrivalNanos;
    }

    @Override
    public void granted(double place) {
      // The order does not depend on what was granted.
    }
  }
}
