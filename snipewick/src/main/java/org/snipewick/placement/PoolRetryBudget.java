package org.snipewick.placement;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Retry budget of one pool at one instance: bounds the retries within a sliding window to a share
 * of the requests in it, plus a fixed slack that is divided among all instances. Not thread-safe.
 */
public final class PoolRetryBudget {
  /** Share of the bound that is used, because the windows of instances are not aligned. */
  private static final double USED_SHARE_OF_BOUND = 0.7;

  private final double ratio;
  private final double slack;
  private final long windowNanos;
  private final Deque<Long> requests = new ArrayDeque<>();
  private final Deque<Long> retries = new ArrayDeque<>();

  private PoolRetryBudget(double ratio, double slack, long windowNanos) {
    this.ratio = ratio;
    this.slack = slack;
    this.windowNanos = windowNanos;
  }

  /**
   * Creates a retry budget.
   *
   * @param ratio retries per request, over all instances
   * @param slack additional retries per window, over all instances
   * @param instances instances that share the slack, at least 1
   * @param window length of the sliding window over which requests and retries are counted
   * @return budget without history
   */
  public static PoolRetryBudget of(double ratio, double slack, int instances, Duration window) {
    return new PoolRetryBudget(
        ratio * USED_SHARE_OF_BOUND,
        slack * USED_SHARE_OF_BOUND / Math.max(1, instances),
        window.toNanos());
  }

  /**
   * Counts a request that is sent for the first time.
   *
   * @param nowNanos current monotonic time, in nanoseconds
   */
  public void countRequest(long nowNanos) {
    requests.addLast(nowNanos);
    removeExpired(requests, nowNanos);
  }

  /**
   * Spends one retry if the budget allows it.
   *
   * @param nowNanos current monotonic time, in nanoseconds
   * @return whether the retry is allowed
   */
  public boolean trySpend(long nowNanos) {
    removeExpired(requests, nowNanos);
    removeExpired(retries, nowNanos);
    if (retries.size() + 1 > ratio * requests.size() + slack) {
      return false;
    }
    retries.addLast(nowNanos);
    return true;
  }

  private void removeExpired(Deque<Long> times, long nowNanos) {
    while (!times.isEmpty() && nowNanos - times.peekFirst() > windowNanos) {
      times.removeFirst();
    }
  }
}
