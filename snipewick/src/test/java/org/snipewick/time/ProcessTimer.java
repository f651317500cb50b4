package org.snipewick.time;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/** Timer service of one simulated process on a shared virtual clock; can be paused or ended. */
public final class ProcessTimer implements TimerService {
  private final VirtualTimerService sharedClock;
  private final List<Runnable> postponedTasks = new ArrayList<>();
  private boolean isPaused;
  private boolean isEnded;

  /** Creates the timer of a running process. */
  public ProcessTimer(VirtualTimerService sharedClock) {
    this.sharedClock = sharedClock;
  }

  /** Postpones all tasks that become due, as SIGSTOP does. */
  public void pause() {
    isPaused = true;
  }

  /** Runs the postponed tasks, as SIGCONT does. */
  public void resume() {
    isPaused = false;
    List<Runnable> dueTasks = List.copyOf(postponedTasks);
    postponedTasks.clear();
    dueTasks.forEach(Runnable::run);
  }

  /** Drops all scheduled tasks and those scheduled from now on, as SIGKILL does. */
  public void end() {
    isEnded = true;
    postponedTasks.clear();
  }

  @Override
  public long nanoTime() {
    return sharedClock.nanoTime();
  }

  @Override
  public long epochMillis() {
    return sharedClock.epochMillis();
  }

  @Override
  public Subscription after(Duration delay, Runnable task) {
    return sharedClock.after(delay, () -> run(task));
  }

  @Override
  public Subscription every(Duration period, Runnable task) {
    return sharedClock.every(period, () -> run(task));
  }

  private void run(Runnable task) {
    if (isPaused) {
      postponedTasks.add(() -> run(task));
    } else if (!isEnded) {
      task.run();
    }
  }
}
