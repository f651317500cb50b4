package org.snipewick.pool.policy;

import static java.util.Objects.requireNonNull;

import org.snipewick.pool.WorkRequest;

/**
 * A request that waits for a grant.
 *
 * @param work the request
 * @param arrivalNanos when it came to the system, on the scheduler's monotonic clock
 * @param deadlineNanos when its answer must be complete, on the scheduler's monotonic clock
 * @param costTokens expected cost in weighted tokens
 * @param position place within its tier; lower is earlier
 */
public record WaitingRequest(
    WorkRequest work, long arrivalNanos, long deadlineNanos, double costTokens, double position) {
  private static final double NANOS_PER_MILLI = 1e6;

  /** Checks the request. */
  public WaitingRequest {
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
  public WaitingRequest withPosition(double changed) {
    return new WaitingRequest(work, arrivalNanos, deadlineNanos, costTokens, changed);
  }
}
