package org.snipewick.placement;

import java.util.Comparator;

/** Order in which waiting requests get places. */
@FunctionalInterface
public interface QueueOrder {

  /**
   * Returns the order at a time.
   *
   * @param nowNanos monotonic time
   * @return comparator that puts the next request first
   */
  Comparator<WaitingRequest> at(long nowNanos);

  /**
   * Orders by tier, and within a tier those first that can still be on time, the earliest first.
   * Answers a load above capacity for some seconds: who is late already no longer makes others
   * late.
   *
   * @return order
   */
  static QueueOrder byTierOnTimeFirst() {
    return nowNanos ->
        Comparator.comparing(WaitingRequest::tier)
            .thenComparing(request -> request.targetNanos() - nowNanos < 0)
            .thenComparingLong(WaitingRequest::arrivedNanos);
  }

  /**
   * Orders by tier and arrival; the baseline of {@link #byTierOnTimeFirst}.
   *
   * @return order
   */
  static QueueOrder byTierAndArrival() {
    return nowNanos ->
        Comparator.comparing(WaitingRequest::tier).thenComparingLong(WaitingRequest::arrivedNanos);
  }
}
