package org.snipewick.time;

import java.time.Duration;
import java.time.Instant;

/**
 * Evenly spaced points in time at which periodic tasks run. Tasks whose periods are multiples of
 * the spacing run at the same times and share wake-ups of their thread. The points are aligned to
 * the wall clock, so that periodic messages from several instances arrive together as well.
 *
 * @param originNanos monotonic time of any point of the grid, in nanoseconds
 */
record TimerGrid(long originNanos) {
  /** Time between two points of the grid; tasks with a shorter period use their period instead. */
  private static final long SPACING_NANOS = Duration.ofMillis(500).toNanos();

  /** Returns the grid that is aligned to the current wall clock of the system. */
  static TimerGrid ofSystemClock() {
    Instant wall = Instant.now();
    long sinceLastNanos =
        Math.floorMod(Duration.between(Instant.EPOCH, wall).toNanos(), SPACING_NANOS);
    return new TimerGrid(System.nanoTime() - sinceLastNanos);
  }

  /**
   * Returns the delay in nanoseconds until the first run of a periodic task: at most one period,
   * and more than one period less the spacing.
   */
  long firstDelayNanos(long nowNanos, long periodNanos) {
    long spacingNanos = Math.min(periodNanos, SPACING_NANOS);
    long latestNanos = nowNanos + periodNanos;
    return periodNanos - Math.floorMod(latestNanos - originNanos, spacingNanos);
  }
}
