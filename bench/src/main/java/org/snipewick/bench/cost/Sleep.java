package org.snipewick.bench.cost;

import java.util.concurrent.locks.LockSupport;

/** Blocks the current thread for the duration of a measurement. */
final class Sleep {
  private static final long NANOS_PER_SECOND = 1_000_000_000L;

  private Sleep() {}

  static void forSeconds(long seconds) {
    untilNanoTime(System.nanoTime() + seconds * NANOS_PER_SECOND);
  }

  /** Blocks until {@link System#nanoTime} reaches the given value. */
  static void untilNanoTime(long nanoTime) {
    while (System.nanoTime() < nanoTime) {
      LockSupport.parkNanos(nanoTime - System.nanoTime());
    }
  }
}
