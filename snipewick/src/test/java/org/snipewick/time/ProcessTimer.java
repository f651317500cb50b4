package org.snipewick.time;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/** Timer of one process on a shared virtual clock; the process can be paused or end. */
public final class ProcessTimer implements TimerService {
  private final VirtualTimerService clock;
  private final List<Runnable> held = new ArrayList<>();
  private boolean paused;
  private boolean ended;

  /** Creates the timer of a running process. */
  public ProcessTimer(VirtualTimerService clock) {
    this.clock = clock;
  }

  /** Holds all tasks back, as SIGSTOP does. */
  public void pause() {
    paused = true;
  }

  /** Runs what was held back, as SIGCONT does. */
  public void resume() {
    paused = false;
    List<Runnable> due = List.copyOf(held);
    held.clear();
    due.forEach(Runnable::run);
  }

  /** Drops all tasks for good. */
  public void end() {
    ended = true;
    held.clear();
  }

  @Override
  public long nanoTime() {
    return clock.nanoTime();
  }

  @Override
  public long epochMillis() {
    return clock.epochMillis();
  }

  @Override
  public Subscription after(Duration delay, Runnable task) {
    return clock.after(delay, () -> run(task));
  }

  @Override
  public Subscription every(Duration period, Runnable task) {
    return clock.every(period, () -> run(task));
  }

  private void run(Runnable task) {
    if (paused) {
      held.add(() -> run(task));
    } else if (!ended) {
      task.run();
    }
  }
}
