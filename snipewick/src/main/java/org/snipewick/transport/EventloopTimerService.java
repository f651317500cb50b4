package org.snipewick.transport;

import static java.util.Objects.requireNonNull;

import com.google.common.flogger.FluentLogger;
import io.activej.eventloop.Eventloop;
import io.activej.eventloop.schedule.ScheduledRunnable;
import java.time.Duration;
import org.snipewick.time.TimerService;

/** Timer service whose tasks run on an event loop; to be used on that loop. */
public final class EventloopTimerService implements TimerService {
  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
  private static final long NANOS_PER_MILLI = 1_000_000L;

  private final Eventloop eventloop;

  private EventloopTimerService(Eventloop eventloop) {
    this.eventloop = requireNonNull(eventloop, "eventloop");
  }

  /**
   * Creates an event loop whose timers follow the monotonic clock, so that a step of the wall clock
   * moves none of them.
   *
   * @return event loop that was not started yet
   */
  public static Eventloop monotonicEventloop() {
    return Eventloop.create(() -> System.nanoTime() / NANOS_PER_MILLI);
  }

  /**
   * Creates a timer service.
   *
   * @param eventloop loop made by {@link #monotonicEventloop}
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
    ScheduledRunnable scheduled = eventloop.delayBackground(millis, guarded(task));
    return scheduled::cancel;
  }

  @Override
  public Subscription every(Duration period, Runnable task) {
    return new Repetition(period, guarded(task));
  }

  private static Runnable guarded(Runnable task) {
    requireNonNull(task, "task");
    return () -> {
      try {
        task.run();
      } catch (RuntimeException failure) {
        LOGGER.atSevere().withCause(failure).log("Timer task failed");
      }
    };
  }

  private final class Repetition implements Subscription {
    private final Duration period;
    private final Runnable task;
    private Subscription next;
    private boolean cancelled;

    Repetition(Duration period, Runnable task) {
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
