package org.snipewick.transport;

import static java.util.Objects.requireNonNull;

import com.google.common.flogger.FluentLogger;
import io.activej.eventloop.Eventloop;
import io.activej.eventloop.schedule.ScheduledRunnable;
import java.time.Duration;
import org.snipewick.time.TimerService;

/** Timer service that runs its tasks on an event loop. To be used on the thread of that loop. */
public final class EventloopTimerService implements TimerService {
  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
  private static final long NANOS_PER_MILLI = 1_000_000L;

  private final Eventloop eventloop;

  private EventloopTimerService(Eventloop eventloop) {
    this.eventloop = requireNonNull(eventloop, "eventloop");
  }

  /**
   * Creates an event loop whose timers use the monotonic clock, so that they are not affected when
   * the wall clock is stepped.
   *
   * @return event loop, not started
   */
  public static Eventloop monotonicEventloop() {
    return Eventloop.create(() -> System.nanoTime() / NANOS_PER_MILLI);
  }

  /**
   * Creates a timer service for an event loop.
   *
   * @param eventloop event loop created by {@link #monotonicEventloop}
   * @return timer service
   */
  public static EventloopTimerService of(Eventloop eventloop) {
    return new EventloopTimerService(eventloop);
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
    long millis = (delay.toNanos() + NANOS_PER_MILLI - 1) / NANOS_PER_MILLI;
    ScheduledRunnable scheduled = eventloop.delayBackground(millis, loggingFailures(task));
    return scheduled::cancel;
  }

  @Override
  public Subscription every(Duration period, Runnable task) {
    return new PeriodicTask(period, loggingFailures(task));
  }

  /** Logs runtime exceptions of a task, so that they do not reach the event loop. */
  private static Runnable loggingFailures(Runnable task) {
    requireNonNull(task, "task");
    return () -> {
      try {
        task.run();
      } catch (RuntimeException failure) {
        LOGGER.atSevere().withCause(failure).log("Timer task failed");
      }
    };
  }

  /** Task that schedules its next run before each run, until it is cancelled. */
  private final class PeriodicTask implements Subscription {
    private final Duration period;
    private final Runnable task;
    private Subscription next;
    private boolean cancelled;

    PeriodicTask(Duration period, Runnable task) {
      this.period = period;
      this.task = task;
      next = after(period, this::run);
    }

    private void run() {
      if (!cancelled) {
        next = after(period, this::run);
        task.run();
      }
    }

    @Override
    public void cancel() {
      cancelled = true;
      next.cancel();
    }
  }
}
