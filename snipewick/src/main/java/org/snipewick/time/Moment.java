package org.snipewick.time;

import static java.util.Objects.requireNonNull;

import java.time.Duration;

/**
 * A moment on both clocks of a process. The monotonic clock stands still while the host is
 * suspended, and the wall clock may be set; the time that surely has not been exceeded since a
 * moment is therefore the greater of what the two show.
 *
 * @param nanos monotonic clock, in nanoseconds since an arbitrary origin
 * @param epochMillis wall clock, in milliseconds since the Unix epoch
 */
public record Moment(long nanos, long epochMillis) {

  /**
   * Reads both clocks.
   *
   * @param timer source of time
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
   * @return the greater of the times on the two clocks, not negative
   */
  public Duration since(Moment earlier) {
    Duration monotonic = Duration.ofNanos(Math.max(0, nanos - earlier.nanos));
    Duration wall = Duration.ofMillis(Math.max(0, epochMillis - earlier.epochMillis));
    return monotonic.compareTo(wall) >= 0 ? monotonic : wall;
  }

  /**
   * Returns an earlier moment.
   *
   * @param duration how much earlier
   * @return moment that lies before this one on both clocks
   */
  public Moment minus(Duration duration) {
    return new Moment(nanos - duration.toNanos(), epochMillis - duration.toMillis());
  }
}
