package org.snipewick.time;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * Timer service for tests and simulations, whose time advances only by calls of {@link #advance}
 * and {@link #runNext}. Both clocks advance together. Not safe for use by several threads.
 */
public final class VirtualTimerService implements TimerService {
  private static final long NANOS_PER_MILLI = 1_000_000L;

  private final PriorityQueue<ScheduledTask> tasks =
      new PriorityQueue<>(
          Comparator.comparingLong(ScheduledTask::dueNanos)
              .thenComparingLong(ScheduledTask::sequence));
  private final long epochMillisAtZero;
  private long nowNanos;
  private long nextSequence;

  private VirtualTimerService(long epochMillisAtZero) {
    this.epochMillisAtZero = epochMillisAtZero;
  }

  /**
   * Creates a virtual timer service at time zero.
   *
   * @param epochMillisAtZero wall clock at time zero, in milliseconds since the Unix epoch
   * @return timer service
   */
  public static VirtualTimerService of(long epochMillisAtZero) {
    return new VirtualTimerService(epochMillisAtZero);
  }

  @Override
  public long nanoTime() {
    return nowNanos;
  }

  @Override
  public long epochMillis() {
    return epochMillisAtZero + nowNanos / NANOS_PER_MILLI;
  }

  @Override
  public Subscription after(Duration delay, Runnable task) {
    ScheduledTask scheduled =
        new ScheduledTask(nowNanos + delay.toNanos(), nextSequence++, requireNonNull(task, "task"));
    tasks.add(scheduled);
    return () -> tasks.remove(scheduled);
  }

  @Override
  public Subscription every(Duration period, Runnable task) {
    requireNonNull(task, "task");
    return new PeriodicTask(period, task);
  }

  /**
   * Advances time and runs all tasks that become due, in order of their due time; tasks due at the
   * same time run in the order in which they were scheduled.
   *
   * @param duration time to advance by, not negative
   */
  public void advance(Duration duration) {
    long endNanos = nowNanos + duration.toNanos();
    while (!tasks.isEmpty() && tasks.peek().dueNanos() <= endNanos) {
      runNext();
    }
    nowNanos = endNanos;
  }

  /**
   * Advances time to the next task and runs it.
   *
   * @return whether a task was scheduled
   */
  public boolean runNext() {
    ScheduledTask next = tasks.poll();
    if (next == null) {
      return false;
    }
    nowNanos = Math.max(nowNanos, next.dueNanos());
    next.task().run();
    return true;
  }

  private record ScheduledTask(long dueNanos, long sequence, Runnable task) {}

  private final class PeriodicTask implements Subscription {
    private final Duration period;
    private final Runnable task;
    private boolean isCancelled;

    PeriodicTask(Duration period, Runnable task) {
      this.period = period;
      this.task = task;
      after(period, this::run);
    }

    private void run() {
      if (isCancelled) {
        return;
      }
      after(period, this::run);
      task.run();
    }

    @Override
    public void cancel() {
      isCancelled = true;
    }
  }
}
