package org.snipewick.placement;

/** Limit of the time that a request may wait in the queue before it is refused. */
@FunctionalInterface
public interface WaitLimit {

  /**
   * Returns how long a request may wait.
   *
   * @param request request
   * @param fromNanos monotonic time from which the wait is counted, in nanoseconds
   * @return time in nanoseconds, which is negative if the request should not wait at all
   */
  long maxWaitNanos(WaitingRequest request, long fromNanos);

  /**
   * Returns a limit of half of the time until the answer must begin; the rest is left for the queue
   * at the endpoint and the prefill. The baseline that {@link #untilTargetLatency} is compared
   * with.
   *
   * @return limit
   */
  static WaitLimit halfOfTimeLeft() {
    return (request, fromNanos) -> (request.latestResponseStartNanos() - fromNanos) / 2;
  }

  /**
   * Returns a limit at which a request can no longer be answered on time. In an overload, slots go
   * to requests that still can, and the callers of the others are told early when to return. A
   * request that an endpoint may have run cannot be told that; for it, and for the rest of a
   * stream, {@link #halfOfTimeLeft} applies.
   *
   * @return limit, never longer than {@link #halfOfTimeLeft}
   */
  static WaitLimit untilTargetLatency() {
    WaitLimit halfOfTimeLeft = halfOfTimeLeft();
    return (request, fromNanos) -> {
      long half = halfOfTimeLeft.maxWaitNanos(request, fromNanos);
      return request.triedEndpoints().isEmpty()
          ? Math.min(half, request.onTimeUntilNanos() - fromNanos)
          : half;
    };
  }
}
