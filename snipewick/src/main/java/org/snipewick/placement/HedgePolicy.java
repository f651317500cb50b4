package org.snipewick.placement;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import org.snipewick.identity.PoolName;

/**
 * Decides when a slow request is sent to a second endpoint. Answers a load in which a few responses
 * take much longer than the others, within a share of the requests that the operator sets. Not
 * thread-safe.
 */
public final class HedgePolicy {
  /** A shorter delay would send hedges while the first attempt is still on its way. */
  private static final long MIN_DELAY_NANOS = Duration.ofMillis(10).toNanos();

  /** Number of recent responses of a route from which its delay is learned. */
  private static final int RECENT_RESPONSES = 128;

  /** Number of recent responses below which a route has no delay, so that p95 means something. */
  private static final int MIN_RESPONSES = 40;

  private static final double DELAY_PERCENTILE = 0.95;

  /**
   * Part of the slots of an endpoint that may be in use with the hedge. If even the best endpoint
   * has more in use, the pool is short of slots, and a hedge would delay other requests.
   */
  private static final double MAX_OCCUPANCY = 0.5;

  private final double share;
  private final Duration window;
  private final Map<PoolName, PoolRetryBudget> shares = new HashMap<>();
  private final Map<String, ResponseTimes> responseTimes = new HashMap<>();

  private HedgePolicy(double share, Duration window) {
    this.share = share;
    this.window = requireNonNull(window, "window");
  }

  /**
   * Creates a policy without history.
   *
   * @param share maximum share of the requests of a pool that are hedged, 0 for none
   * @param window time over which requests and hedges are counted
   * @return policy
   * @throws IllegalArgumentException if the share is not between 0 and 1
   */
  public static HedgePolicy of(double share, Duration window) {
    if (!(share >= 0 && share <= 1)) {
      throw new IllegalArgumentException("share must be between 0 and 1: " + share);
    }
    return new HedgePolicy(share, window);
  }

  /**
   * State of a request whose delay has passed.
   *
   * @param isRepeatable whether the request may run twice and has attempts left
   * @param wasSent whether the first attempt may have reached its endpoint
   * @param hasResponse whether its response, or the first event of its stream, has begun
   * @param waitingRequests number of requests that wait for the pool at this instance
   */
  public record Situation(
      boolean isRepeatable, boolean wasSent, boolean hasResponse, int waitingRequests) {}

  /**
   * Returns whether any request is hedged.
   *
   * @return whether the share is positive
   */
  public boolean isEnabled() {
    return share > 0;
  }

  /**
   * Counts a request that is sent for the first time.
   *
   * @param pool pool of the request
   * @param nowNanos current monotonic time, in nanoseconds
   */
  public void countRequest(PoolName pool, long nowNanos) {
    shareOf(pool).countRequest(nowNanos);
  }

  /**
   * Records how long a first attempt took until its response began, or how long it was waited for.
   *
   * @param route name of the route
   * @param nanos time since the attempt was placed, in nanoseconds
   */
  public void recordResponseTime(String route, long nanos) {
    responseTimes.computeIfAbsent(route, name -> new ResponseTimes()).add(nanos);
  }

  /**
   * Returns how long a response of a route is waited for before a hedge.
   *
   * @param route name of the route
   * @return delay in nanoseconds; empty if too few responses are known
   */
  public OptionalLong delayNanos(String route) {
    ResponseTimes times = responseTimes.get(route);
    if (times == null || times.percentile().isEmpty()) {
      return OptionalLong.empty();
    }
    return OptionalLong.of(Math.max(MIN_DELAY_NANOS, times.percentile().getAsLong()));
  }

  /**
   * Returns whether a request may be hedged, apart from the budgets and the room at endpoints.
   *
   * @param situation state of the request and its pool
   * @return whether a second attempt would be useful and harms no other request
   */
  public static boolean allows(Situation situation) {
    return situation.isRepeatable()
        && situation.wasSent()
        && !situation.hasResponse()
        && situation.waitingRequests() == 0;
  }

  /**
   * Returns whether the endpoint at which a hedge would be placed has room for it.
   *
   * @param placed decision to place the hedge
   * @return whether its endpoint is at most half occupied with the hedge
   */
  public static boolean hasRoom(PlacementDecision.Placed placed) {
    return placed.inFlight() + 1 <= placed.endpoint().slots() * MAX_OCCUPANCY;
  }

  /**
   * Spends one hedge if both its own share and the retry budget of the pool allow it.
   *
   * @param pool pool of the request
   * @param retries retry budget of the pool
   * @param nowNanos current monotonic time, in nanoseconds
   * @return whether the hedge may be sent
   */
  public boolean trySpend(PoolName pool, PoolRetryBudget retries, long nowNanos) {
    return shareOf(pool).trySpend(nowNanos) && retries.trySpend(nowNanos);
  }

  private PoolRetryBudget shareOf(PoolName pool) {
    return shares.computeIfAbsent(pool, name -> PoolRetryBudget.of(share, 0, 1, window));
  }

  /** Durations of the latest responses of a route. */
  private static final class ResponseTimes {
    private final long[] latest = new long[RECENT_RESPONSES];
    private int count;

    void add(long nanos) {
      latest[count % RECENT_RESPONSES] = nanos;
      count++;
    }

    OptionalLong percentile() {
      int known = Math.min(count, RECENT_RESPONSES);
      if (known < MIN_RESPONSES) {
        return OptionalLong.empty();
      }
      long[] sorted = Arrays.copyOf(latest, known);
      Arrays.sort(sorted);
      return OptionalLong.of(sorted[(int) (known * DELAY_PERCENTILE)]);
    }
  }
}
