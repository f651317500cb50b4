package org.snipewick.bench.cluster;

import java.time.Duration;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

/** Waits for a condition that another process brings about. */
public final class Await {
  private static final long POLL_NANOS = 20_000_000L;

  private Await() {}

  /**
   * Waits until a condition holds.
   *
   * @param limit longest time to wait
   * @param what what is waited for, for the message
   * @param condition condition, evaluated every few milliseconds
   * @throws AssertionError if it does not hold in time
   */
  public static void until(Duration limit, String what, BooleanSupplier condition) {
    until(limit, () -> what, condition);
  }

  /**
   * Waits until a condition holds, and says how things stand if it does not.
   *
   * @param limit longest time to wait
   * @param what what is waited for and what was seen last, for the message
   * @param condition condition, evaluated every few milliseconds
   * @throws AssertionError if it does not hold in time
   */
  public static void until(Duration limit, Supplier<String> what, BooleanSupplier condition) {
    long end = System.nanoTime() + limit.toNanos();
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() > end) {
        throw new AssertionError("not within " + limit + ": " + what.get());
      }
      LockSupport.parkNanos(POLL_NANOS);
    }
  }
}
