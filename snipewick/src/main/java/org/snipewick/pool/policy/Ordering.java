package org.snipewick.pool.policy;

import java.util.HashMap;
import java.util.Map;
import org.snipewick.identity.TeamName;
import org.snipewick.pool.WorkRequest;

/** Queue order of the waiting requests of one tier. Implementations may be stateful. */
public sealed interface Ordering {

  /**
   * Assigns a position to a new request.
   *
   * @param work request
   * @param costTokens expected cost of the request, in weighted tokens
   * @param arrivalNanos time of its arrival in the system, on the scheduler's monotonic clock, in
   *     nanoseconds
   * @return position; lower is earlier
   */
  double assignPosition(WorkRequest work, double costTokens, long arrivalNanos);

  /**
   * Records that the request at a position was granted.
   *
   * @param position position of the request
   */
  void recordGrant(double position);

  /**
   * Start-time fair queuing among teams: each team's requests are spaced by their cost in a common
   * virtual time.
   */
  final class FairAmongTeams implements Ordering {
    /** Number of teams above which those not ahead of the virtual time are removed. */
    private static final int PRUNE_THRESHOLD_TEAMS = 10_000;

    private final Map<TeamName, Double> nextPositionByTeam = new HashMap<>();
    private double virtualTime;

    /** Creates an order without any requests; virtual time starts at 0. */
    public FairAmongTeams() {}

    @Override
    public double assignPosition(WorkRequest work, double costTokens, long arrivalNanos) {
      if (nextPositionByTeam.size() > PRUNE_THRESHOLD_TEAMS) {
        nextPositionByTeam.values().removeIf(position -> position <= virtualTime);
      }
      double start = Math.max(virtualTime, nextPositionByTeam.getOrDefault(work.team(), 0.0));
      nextPositionByTeam.put(work.team(), start + costTokens);
      return start;
    }

    @Override
    public void recordGrant(double position) {
      virtualTime = Math.max(virtualTime, position);
    }
  }

  /** First come, first served, by arrival in the system. */
  final class ByArrival implements Ordering {

    /** Creates a stateless order. */
    public ByArrival() {}

    @Override
    public double assignPosition(WorkRequest work, double costTokens, long arrivalNanos) {
      return arrivalNanos;
    }

    @Override
    public void recordGrant(double position) {
      // The order does not depend on what was granted.
    }
  }
}
