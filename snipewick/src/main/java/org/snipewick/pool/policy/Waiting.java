package org.snipewick.pool.policy;

import static java.util.Objects.requireNonNull;

import org.snipewick.pool.WorkRequest;

/**
 * A request that waits for a grant.
 *
 * @param work the request
 * @param arrivalNanos when it came to the system, on the scheduler's monotonic clock
 * @param deadlineNanos when its answer must be complete, on the scheduler's monotonic clock
 * @param cost expected cost in weighted tokens
 * @param order place within its tier; lower is earlier
 */
public record Waiting(
    WorkRequest work, long arrivalNanos, long deadlineNanos, double cost, double order) {
  private static final double NANOS_PER_MILLI = 1e6;

  /** Checks the request. */
  public Waiting {
    requireNonNull(work, "work");
  }

  /**
   * Returns the time left until the deadline.
   *
   * @param nowNanos current monotonic time, in nanoseconds
   * @return milliseconds, negative when it has passed
   */
  public double remainingMillis(long nowNanos) {
    return (deadlineNanos - nowNanos) / NANOS_PER_MILLI;
  }

  /**
   * Returns this request with another place within its tier.
   *
   * @param changed place; lower is earlier
   * @return changed copy
   */
  public Waiting withOrder(double changed) {
    return new Waiting(work, arrivalNanos, deadlineNanos, cost, changed);
  }
}
