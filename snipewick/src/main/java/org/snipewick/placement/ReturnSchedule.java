package org.snipewick.placement;

import java.time.Duration;

/**
 * Times at which refused requests may return. Each refusal books the next slot that is expected to
 * become free, so that the callers of a burst do not return together to be refused again. Not
 * thread-safe.
 */
final class ReturnSchedule {
  private static final Duration MIN_RETRY_AFTER = Duration.ofMillis(200);
  private static final Duration MAX_RETRY_AFTER = Duration.ofSeconds(5);

  private long latestNanos;
  private boolean hasBookings;

  /**
   * Books the return of a refused request.
   *
   * @param waitNanos expected time until the queue has a place, in nanoseconds
   * @param slotNanos expected time between two slots that become free, in nanoseconds
   * @param nowNanos current monotonic time, in nanoseconds
   * @return time after which the request may return, within the bounds for retries
   */
  Duration book(double waitNanos, double slotNanos, long nowNanos) {
    long earliest = nowNanos + bounded(waitNanos);
    long next = hasBookings ? latestNanos + bounded(slotNanos) : earliest;
    latestNanos = next - earliest > 0 ? next : earliest;
    hasBookings = true;
    long lastAllowed = nowNanos + MAX_RETRY_AFTER.toNanos();
    if (latestNanos - lastAllowed > 0) {
      latestNanos = lastAllowed;
    }
    return Duration.ofNanos(latestNanos - nowNanos);
  }

  private static long bounded(double nanos) {
    return (long) Math.min(MAX_RETRY_AFTER.toNanos(), Math.max(0, nanos));
  }

  /** Returns a wait that is at least as long as callers should wait before any retry. */
  static Duration atLeastMinimum(Duration wait) {
    return wait.compareTo(MIN_RETRY_AFTER) < 0 ? MIN_RETRY_AFTER : wait;
  }
}
