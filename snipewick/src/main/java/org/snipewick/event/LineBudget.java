package org.snipewick.event;

import java.util.concurrent.atomic.AtomicLong;

/** Rate of log lines with bursts, by the generic cell rate algorithm; safe from any thread. */
final class LineBudget {
  private static final long NANOS_PER_SECOND = 1_000_000_000L;

  private final long nanosPerLine;
  private final long burstNanos;
  private final AtomicLong paidUntilNanos;

  private LineBudget(long linesPerSecond, long burst, long nowNanos) {
    this.nanosPerLine = NANOS_PER_SECOND / linesPerSecond;
    this.burstNanos = nanosPerLine * burst;
    this.paidUntilNanos = new AtomicLong(nowNanos);
  }

  /**
   * Creates a budget that is full.
   *
   * @param linesPerSecond lines a second in the long run, positive
   * @param burst lines that may be written at once, positive
   * @param nowNanos current monotonic time, in nanoseconds
   */
  static LineBudget of(long linesPerSecond, long burst, long nowNanos) {
    if (linesPerSecond <= 0 || burst <= 0) {
      throw new IllegalArgumentException("rate and burst must be positive");
    }
    return new LineBudget(linesPerSecond, burst, nowNanos);
  }

  /**
   * Pays for a line if the budget allows it.
   *
   * @param nowNanos current monotonic time, in nanoseconds
   * @return whether the line may be written
   */
  boolean tryTake(long nowNanos) {
    while (true) {
      long before = paidUntilNanos.get();
      long paidFrom = before - nowNanos > 0 ? before : nowNanos;
      if (paidFrom - nowNanos + nanosPerLine > burstNanos) {
        return false;
      }
      if (paidUntilNanos.compareAndSet(before, paidFrom + nanosPerLine)) {
        return true;
      }
    }
  }
}
