package org.snipewick.bench.cluster;

import java.time.Duration;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

/** Waits for conditions that depend on other processes. */
public final class Await {
  private static final long POLL_INTERVAL_NANOS = 20_000_000L;

  private Await() {}

  /**
   * Waits until a condition holds.
   *
   * @param timeout maximum time to wait
   * @param description description of the condition, for the message of a failure
   * @param condition condition, checked every 20 ms
   * @throws AssertionError if the condition does not hold within the timeout
   */
  public static void until(Duration timeout, String description, BooleanSupplier condition) {
    until(timeout, () -> description, condition);
  }

  /**
   * Waits until a condition holds; the message of a failure is computed when it occurs.
   *
   * @param timeout maximum time to wait
   * @param description returns a description of the condition and of the last state, for the
   *     message of a failure
   * @param condition condition, checked every 20 ms
   * @throws AssertionError if the condition does not hold within the timeout
   */
  public static void until(
      Duration timeout, Supplier<String> description, BooleanSupplier condition) {
    long endNanos = System.nanoTime() + timeout.toNanos();
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() > endNanos) {
        throw new AssertionError("not within " + timeout + ": " + description.get());
      }
      LockSupport.parkNanos(POLL_INTERVAL_NANOS);
    }
  }
}
