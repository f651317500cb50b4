package org.snipewick.bench.cluster;

import java.time.Duration;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

/** Waits for conditions that depend on other processes. */
public final class Await {
  private static final long POLL_NANOS = 20_000_000L;

  private Await() {}

  /**
   * Waits until a condition holds.
   *
   * @param limit timeout
   * @param what description of the condition, for the message of a failure
   * @param condition condition, checked every 20 ms
   * @throws AssertionError if the condition does not hold within the timeout
   */
  public static void until(Duration limit, String what, BooleanSupplier condition) {
    until(limit, () -> what, condition);
  }

  /**
   * Waits until a condition holds; the message of a failure is computed when it occurs.
   *
   * @param limit timeout
   * @param what returns a description of the condition and of the last state, for the message of a
   *     failure
   * @param condition condition, checked every 20 ms
   * @throws AssertionError if the condition does not hold within the timeout
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
