package org.snipewick.event;

import java.util.concurrent.atomic.AtomicLong;

/** Limits the rate of log lines by the generic cell rate algorithm (GCRA). Thread-safe. */
final class LogLineRateLimiter {
  private static final long NANOS_PER_SECOND = 1_000_000_000L;

  private final long nanosPerLine;
  private final long burstNanos;

  /** Monotonic time at which the next line is due if lines are written at the limited rate. */
  private final AtomicLong theoreticalArrivalNanos;

  private LogLineRateLimiter(long linesPerSecond, long burstLines, long nowNanos) {
    this.nanosPerLine = NANOS_PER_SECOND / linesPerSecond;
    this.burstNanos = nanosPerLine * burstLines;
    this.theoreticalArrivalNanos = new AtomicLong(nowNanos);
  }

  /**
   * Creates a limiter whose whole burst is available.
   *
   * @param linesPerSecond lines per second in the long run, positive
   * @param burstLines lines that may be written at once, positive
   * @param nowNanos current monotonic time, in nanoseconds
   * @throws IllegalArgumentException if the rate or the burst is not positive
   */
  static LogLineRateLimiter of(long linesPerSecond, long burstLines, long nowNanos) {
    if (linesPerSecond <= 0 || burstLines <= 0) {
      throw new IllegalArgumentException("linesPerSecond and burstLines must be positive");
    }
    return new LogLineRateLimiter(linesPerSecond, burstLines, nowNanos);
  }

  /**
   * Counts a line if the rate permits it.
   *
   * @param nowNanos current monotonic time, in nanoseconds
   * @return whether the line may be written
   */
  boolean tryAcquire(long nowNanos) {
    while (true) {
      long arrivalNanos = theoreticalArrivalNanos.get();
      long startNanos = arrivalNanos - nowNanos > 0 ? arrivalNanos : nowNanos;
      if (startNanos - nowNanos + nanosPerLine > burstNanos) {
        return false;
      }
      if (theoreticalArrivalNanos.compareAndSet(arrivalNanos, startNanos + nanosPerLine)) {
        return true;
      }
    }
  }
}
