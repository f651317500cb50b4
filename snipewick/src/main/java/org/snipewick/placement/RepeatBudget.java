package org.snipewick.placement;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Limit on sending requests once more, for one pool at one instance. Repeats may be a share of the
 * requests of the latest window, and a few more that all instances have to share.
 */
public final class RepeatBudget {
  /** Part of the bound that is used, as windows of instances do not begin at the same time. */
  private static final double USED_SHARE = 0.7;

  private final double ratio;
  private final double slack;
  private final long windowNanos;
  private final Deque<Long> requests = new ArrayDeque<>();
  private final Deque<Long> repeats = new ArrayDeque<>();

  private RepeatBudget(double ratio, double slack, long windowNanos) {
    this.ratio = ratio;
    this.slack = slack;
    this.windowNanos = windowNanos;
  }

  /**
   * Creates a budget.
   *
   * @param ratio repeats for each request, over all instances
   * @param slack repeats in a window beyond that, over all instances
   * @param instances instances that share the slack, at least 1
   * @param window span over which both are counted
   * @return budget without history
   */
  public static RepeatBudget of(double ratio, double slack, int instances, Duration window) {
    return new RepeatBudget(
        ratio * USED_SHARE, slack * USED_SHARE / Math.max(1, instances), window.toNanos());
  }

  /**
   * Counts a request that is sent for the first time.
   *
   * @param nowNanos monotonic time
   */
  public void countRequest(long nowNanos) {
    requests.addLast(nowNanos);
    forget(requests, nowNanos);
  }

  /**
   * Takes a repeat out of the budget.
   *
   * @param nowNanos monotonic time
   * @return whether the budget allows it
   */
  public boolean tryRepeat(long nowNanos) {
    forget(requests, nowNanos);
    forget(repeats, nowNanos);
    if (repeats.size() + 1 > ratio * requests.size() + slack) {
      return false;
    }
    repeats.addLast(nowNanos);
    return true;
  }

  private void forget(Deque<Long> times, long nowNanos) {
    while (!times.isEmpty() && nowNanos - times.peekFirst() > windowNanos) {
      times.removeFirst();
    }
  }
}
