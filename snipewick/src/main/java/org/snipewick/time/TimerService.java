package org.snipewick.time;

import java.time.Duration;

/**
 * Clocks and timers of a process. Decisions that depend on time use this interface only, so that
 * they can be run on virtual time.
 */
public interface TimerService {

  /**
   * Returns the reading of the monotonic clock.
   *
   * @return nanoseconds since an arbitrary origin, never decreasing
   */
  long nanoTime();

  /**
   * Returns the reading of the wall clock.
   *
   * @return milliseconds since the Unix epoch
   */
  long epochMillis();

  /**
   * Runs a task once after a delay.
   *
   * @param delay time from now, not negative
   * @param task task to run
   * @return handle that cancels the task if it has not run yet
   */
  Subscription after(Duration delay, Runnable task);

  /**
   * Runs a task repeatedly with a fixed period; the first run is at most one period from now.
   *
   * @param period time between runs, positive
   * @param task task to run
   * @return handle that cancels further runs
   */
  Subscription every(Duration period, Runnable task);

  /** Handle of a scheduled task. */
  @FunctionalInterface
  interface Subscription {

    /** Cancels the task; further calls have no effect. */
    void cancel();
  }
}
