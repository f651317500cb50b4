package org.snipewick.time;

import java.time.Duration;
import java.time.Instant;

/**
 * Times at which periodic tasks run. Tasks whose periods are multiples of the spacing run at the
 * same times, so that they share wake-ups of their thread; the times follow the wall clock, so that
 * messages that instances send each other periodically arrive together as well.
 *
 * @param originNanos monotonic time of one of the times, in nanoseconds
 */
record TimerGrid(long originNanos) {
  private static final long SPACING_NANOS = Duration.ofMillis(500).toNanos();

  /** Returns the grid that follows the system's wall clock as it stands. */
  static TimerGrid ofSystemClock() {
    Instant wall = Instant.now();
    long sinceLast = Math.floorMod(Duration.between(Instant.EPOCH, wall).toNanos(), SPACING_NANOS);
    return new TimerGrid(System.nanoTime() - sinceLast);
  }

  /**
   * Returns the delay of the first run of a periodic task: at most one period, and more than one
   * period less the spacing.
   */
  long firstDelayNanos(long nowNanos, long periodNanos) {
    long spacing = Math.min(periodNanos, SPACING_NANOS);
    long latest = nowNanos + periodNanos;
    return periodNanos - Math.floorMod(latest - originNanos, spacing);
  }
}
