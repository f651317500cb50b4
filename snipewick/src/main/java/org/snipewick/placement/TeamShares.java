package org.snipewick.placement;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.snipewick.identity.Tier;

/**
 * Precedence of teams within a tier. A request of a team that sends more than it usually does is
 * queued as if it had arrived later, namely at its turn at the usual rate of the team. A team at
 * several times its usual load thus waits behind the others, and takes only what they leave. Used
 * by brokers, which see the requests of a whole failure domain. Not thread-safe.
 */
final class TeamShares {
  /** Long compared to the swings of the demand, which last some 13 s. */
  private static final double RATE_PERIOD_NANOS = Duration.ofSeconds(60).toNanos();

  /** Time after which the rate of a team is known well enough. */
  private static final long LEARNING_NANOS = Duration.ofSeconds(10).toNanos();

  /** Part by which a team may exceed its usual rate; demand swings by about half. */
  private static final double ALLOWED_RATE_FACTOR = 1.5;

  /** Requests that a team may send at once without losing precedence. */
  private static final int BURST_REQUESTS = 5;

  /**
   * Longest time by which a request is set back, so that a team whose load has become usual again
   * has its full precedence soon.
   */
  private static final long MAX_SETBACK_NANOS = Duration.ofSeconds(2).toNanos();

  private final Map<Key, Arrivals> teams = new HashMap<>();

  private record Key(Tier tier, String team) {}

  /** Returns the request with the time by which it is ordered. */
  WaitingRequest order(WaitingRequest request, long nowNanos) {
    if (request.team().isEmpty()) {
      return request;
    }
    Arrivals arrivals =
        teams.computeIfAbsent(
            new Key(request.tier(), request.team()), key -> new Arrivals(nowNanos));
    return request.withPrecedence(request.arrivedNanos() + arrivals.setbackNanos(nowNanos));
  }

  /** Arrivals of one team in one tier. */
  private static final class Arrivals {
    private final long firstNanos;
    private double decayingCount;
    private long latestNanos;
    private double nextTurnNanos;

    private Arrivals(long nowNanos) {
      firstNanos = nowNanos;
      latestNanos = nowNanos;
    }

    /** Counts an arrival; returns by how long it is ahead of its turn, within the bounds. */
    private long setbackNanos(long nowNanos) {
      double elapsedNanos = nowNanos - firstNanos;
      decayingCount = 1 + decayingCount * Math.exp(-(nowNanos - latestNanos) / RATE_PERIOD_NANOS);
      latestNanos = nowNanos;
      if (elapsedNanos < LEARNING_NANOS) {
        nextTurnNanos = elapsedNanos;
        return 0;
      }
      // The divisor corrects for the time since the first arrival being short.
      double requestsPerNano =
          decayingCount / (RATE_PERIOD_NANOS * (1 - Math.exp(-elapsedNanos / RATE_PERIOD_NANOS)));
      double spacingNanos = 1 / (ALLOWED_RATE_FACTOR * requestsPerNano);
      double setback = nextTurnNanos - elapsedNanos - BURST_REQUESTS * spacingNanos;
      double limit = elapsedNanos + MAX_SETBACK_NANOS + BURST_REQUESTS * spacingNanos;
      nextTurnNanos = Math.min(limit, Math.max(nextTurnNanos, elapsedNanos) + spacingNanos);
      return (long) Math.max(0, Math.min(MAX_SETBACK_NANOS, setback));
    }
  }
}
