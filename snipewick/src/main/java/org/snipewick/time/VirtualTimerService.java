package org.snipewick.time;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.Comparator;
import java.util.PriorityQueue;

/** Timer service whose time moves only when told to; not safe for use by several threads. */
public final class VirtualTimerService implements TimerService {
  private static final long NANOS_PER_MILLI = 1_000_000L;

  private final PriorityQueue<Entry> queue =
      new PriorityQueue<>(Comparator.comparingLong(Entry::at).thenComparingLong(Entry::sequence));
  private final long epochMillisAtZero;
  private long now;
  private long sequence;

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
    return now;
  }

  @Override
  public long epochMillis() {
    return epochMillisAtZero + now / NANOS_PER_MILLI;
  }

  @Override
  public Subscription after(Duration delay, Runnable task) {
    Entry entry = new Entry(now + delay.toNanos(), sequence++, requireNonNull(task, "task"));
    queue.add(entry);
    return () -> queue.remove(entry);
  }

  @Override
  public Subscription every(Duration period, Runnable task) {
    requireNonNull(task, "task");
    return new Repetition(period, task);
  }

  /**
   * Moves time forward and runs all tasks that fall due, in order of their time.
   *
   * @param duration how far to move, not negative
   */
  public void advance(Duration duration) {
    long end = now + duration.toNanos();
    while (!queue.isEmpty() && queue.peek().at() <= end) {
      runNext();
    }
    now = end;
  }

  /**
   * Runs the next task, moving time to it.
   *
   * @return whether there was one
   */
  public boolean runNext() {
    Entry entry = queue.poll();
    if (entry == null) {
      return false;
    }
    now = Math.max(now, entry.at());
    entry.task().run();
    return true;
  }

  private record Entry(long at, long sequence, Runnable task) {}

  private final class Repetition implements Subscription {
    private final Duration period;
    private final Runnable task;
    private boolean cancelled;

    Repetition(Duration period, Runnable task) {
      this.period = period;
      this.task = task;
      after(period, this::run);
    }

    private void run() {
      if (cancelled) {
        return;
      }
      after(period, this::run);
      task.run();
    }

    @Override
    public void cancel() {
      cancelled = true;
    }
  }
}
