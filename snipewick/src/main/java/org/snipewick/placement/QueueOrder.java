package org.snipewick.placement;

import java.util.Comparator;

/** Order in which waiting requests are placed. */
@FunctionalInterface
public interface QueueOrder {

  /**
   * Returns the order of the waiting requests at the given time.
   *
   * @param nowNanos current monotonic time, in nanoseconds
   * @return comparator that puts the next request first
   */
  Comparator<WaitingRequest> at(long nowNanos);

  /**
   * Returns an order by tier; within a tier, requests that can still meet their target latency come
   * first, then by arrival, or by the time that a broker has set instead. During an overload of a
   * few seconds, requests that are already late thus do not make other requests late as well.
   *
   * @return order
   */
  static QueueOrder byTierOnTimeFirst() {
    return nowNanos ->
        Comparator.comparing(WaitingRequest::tier)
            .thenComparing(request -> request.onTimeUntilNanos() - nowNanos < 0)
            .thenComparingLong(WaitingRequest::precedenceNanos);
  }

  /**
   * Returns an order by tier and arrival, the baseline that {@link #byTierOnTimeFirst} is compared
   * with.
   *
   * @return order
   */
  static QueueOrder byTierAndArrival() {
    return nowNanos ->
        Comparator.comparing(WaitingRequest::tier).thenComparingLong(WaitingRequest::arrivedNanos);
  }
}
