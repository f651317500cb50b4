package org.snipewick.time;

import static java.util.Objects.requireNonNull;

import java.time.Duration;

/**
 * Reading of both clocks of a process at one moment. The monotonic clock stops while the host is
 * suspended, and the wall clock may be set. An upper bound of the time since a moment is therefore
 * the greater of the two differences.
 *
 * @param monotonicNanos reading of the monotonic clock, in nanoseconds since an arbitrary origin
 * @param epochMillis reading of the wall clock, in milliseconds since the Unix epoch
 */
public record Moment(long monotonicNanos, long epochMillis) {

  /**
   * Reads both clocks.
   *
   * @param timer timer service whose clocks are read
   * @return the present moment
   */
  public static Moment now(TimerService timer) {
    requireNonNull(timer, "timer");
    return new Moment(timer.nanoTime(), timer.epochMillis());
  }

  /**
   * Returns the longest time that may have passed since an earlier moment.
   *
   * @param earlier moment before this one
   * @return the greater of the differences on the two clocks, not negative
   */
  public Duration since(Moment earlier) {
    Duration monotonic = Duration.ofNanos(Math.max(0, monotonicNanos - earlier.monotonicNanos));
    Duration wall = Duration.ofMillis(Math.max(0, epochMillis - earlier.epochMillis));
    return monotonic.compareTo(wall) >= 0 ? monotonic : wall;
  }

  /**
   * Returns an earlier moment.
   *
   * @param duration time by which the result is earlier
   * @return moment that is earlier by the duration on both clocks
   */
  public Moment minus(Duration duration) {
    return new Moment(monotonicNanos - duration.toNanos(), epochMillis - duration.toMillis());
  }
}
