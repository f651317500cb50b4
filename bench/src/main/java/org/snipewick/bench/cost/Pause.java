package org.snipewick.bench.cost;

import java.util.concurrent.locks.LockSupport;

/** Lets time pass in which a measurement runs. */
final class Pause {
  private static final long NANOS_PER_SECOND = 1_000_000_000L;

  private Pause() {}

  static void seconds(long seconds) {
    until(System.nanoTime() + seconds * NANOS_PER_SECOND);
  }

  static void until(long nanoTime) {
    while (System.nanoTime() < nanoTime) {
      LockSupport.parkNanos(nanoTime - System.nanoTime());
    }
  }
}
