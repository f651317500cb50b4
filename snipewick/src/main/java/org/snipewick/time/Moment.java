package org.snipewick.time;

import static java.util.Objects.requireNonNull;

import java.time.Duration;

/**
 * Readings of the monotonic clock and the wall clock of a process at the same time. The monotonic
 * clock stops while the host is suspended, and the wall clock may be set forwards or backwards. The
 * time between two moments is therefore bounded by the greater of the two differences.
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
   * @return the greater of the differences between the readings of each clock, not negative
   */
  public Duration since(Moment earlier) {
    Duration monotonic = Duration.ofNanos(Math.max(0, monotonicNanos - earlier.monotonicNanos));
    Duration wall = Duration.ofMillis(Math.max(0, epochMillis - earlier.epochMillis));
    return monotonic.compareTo(wall) >= 0 ? monotonic : wall;
  }

  /**
   * Returns an earlier moment.
   *
   * @param duration time to subtract
   * @return moment that is earlier by the duration on both clocks
   */
  public Moment minus(Duration duration) {
    return new Moment(monotonicNanos - duration.toNanos(), epochMillis - duration.toMillis());
  }

  /**
   * Returns the least time by which this moment may be after another one.
   *
   * @param other moment before or after this one
   * @return the lesser of the differences between the readings of each clock; negative if this
   *     moment may be before the other one
   */
  public Duration offsetFrom(Moment other) {
    Duration monotonic = Duration.ofNanos(monotonicNanos - other.monotonicNanos);
    Duration wall = Duration.ofMillis(epochMillis - other.epochMillis);
    return monotonic.compareTo(wall) <= 0 ? monotonic : wall;
  }

  /**
   * Returns a later moment, or an earlier one if the duration is negative.
   *
   * @param duration time to add; rounded down to milliseconds for the wall clock
   * @return moment that is later by the duration on both clocks
   */
  public Moment plus(Duration duration) {
    long wallMillis = Math.floorDiv(duration.toNanos(), Duration.ofMillis(1).toNanos());
    return new Moment(monotonicNanos + duration.toNanos(), epochMillis + wallMillis);
  }
}
