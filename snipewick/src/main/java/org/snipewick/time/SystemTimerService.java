package org.snipewick.time;

import static java.util.Objects.requireNonNull;
import static java.util.concurrent.TimeUnit.NANOSECONDS;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledThreadPoolExecutor;

/**
 * Timer service on the system clocks. Tasks run one at a time on a single daemon thread; a runtime
 * exception that a task throws is logged, and a periodic task continues. Safe for use by several
 * threads.
 */
public final class SystemTimerService implements TimerService, AutoCloseable {
  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

  private final ScheduledThreadPoolExecutor executor;
  private final TimerGrid grid = TimerGrid.ofSystemClock();

  private SystemTimerService(ScheduledThreadPoolExecutor executor) {
    this.executor = executor;
  }

  /**
   * Creates and starts a timer service with its own thread.
   *
   * @param threadName name of the thread
   * @return running timer service
   */
  public static SystemTimerService of(String threadName) {
    requireNonNull(threadName, "threadName");
    ScheduledThreadPoolExecutor executor =
        new ScheduledThreadPoolExecutor(
            1,
            task -> {
              Thread thread = new Thread(task, threadName);
              thread.setDaemon(true);
              return thread;
            });
    executor.setRemoveOnCancelPolicy(true);
    return new SystemTimerService(executor);
  }

  @Override
  public long nanoTime() {
    return System.nanoTime();
  }

  @Override
  public long epochMillis() {
    return System.currentTimeMillis();
  }

  @Override
  public Subscription after(Duration delay, Runnable task) {
    Future<?> future = executor.schedule(loggingExceptions(task), delay.toNanos(), NANOSECONDS);
    return () -> future.cancel(false);
  }

  @Override
  public Subscription every(Duration period, Runnable task) {
    long periodNanos = period.toNanos();
    Runnable loggingTask = loggingExceptions(task);
    long initialDelayNanos = grid.firstDelayNanos(System.nanoTime(), periodNanos);
    Future<?> future =
        executor.scheduleAtFixedRate(loggingTask, initialDelayNanos, periodNanos, NANOSECONDS);
    return () -> future.cancel(false);
  }

  /** Ends the thread; interrupts the running task and drops all others. */
  @Override
  public void close() {
    executor.shutdownNow();
  }

  /** Returns a task that logs runtime exceptions, which would otherwise end a periodic task. */
  private static Runnable loggingExceptions(Runnable task) {
    requireNonNull(task, "task");
    return () -> {
      try {
        task.run();
      } catch (RuntimeException failure) {
        LOGGER.atSevere().withCause(failure).log("Timer task failed");
      }
    };
  }
}
