package org.snipewick.pool.policy;

import static java.util.Objects.requireNonNull;

import org.snipewick.pool.WorkRequest;

/**
 * Request that waits for a grant.
 *
 * @param work request
 * @param arrivalNanos time of its arrival in the system, on the scheduler's monotonic clock, in
 *     nanoseconds
 * @param deadlineNanos deadline of the complete answer, on the same clock, in nanoseconds
 * @param costTokens expected cost in weighted tokens, by which requests are ordered and waits are
 *     forecast: 1 plus the tokens to prefill plus the output tokens times {@link
 *     org.snipewick.pool.SchedulerSettings#outputTokenWeight}
 * @param position position within its tier; lower is earlier
 */
public record QueuedRequest(
    WorkRequest work, long arrivalNanos, long deadlineNanos, double costTokens, double position) {
  private static final double NANOS_PER_MILLI = 1e6;

  /** Requires the request to be non-null. */
  public QueuedRequest {
    requireNonNull(work, "work");
  }

  /**
   * Returns the time left until the deadline.
   *
   * @param nowNanos current monotonic time, in nanoseconds
   * @return milliseconds; negative if it has passed
   */
  public double remainingMillis(long nowNanos) {
    return (deadlineNanos - nowNanos) / NANOS_PER_MILLI;
  }

  /**
   * Returns a copy with another position within its tier.
   *
   * @param changed position; lower is earlier
   * @return changed copy
   */
  public QueuedRequest withPosition(double changed) {
    return new QueuedRequest(work, arrivalNanos, deadlineNanos, costTokens, changed);
  }
}
