package org.snipewick.request;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import org.snipewick.time.TimerService;

/** Counts the calls in flight, and lets them finish in a planned stop. */
public final class InFlight {
  private final AtomicLong calls = new AtomicLong();
  private final AtomicReference<State> state = new AtomicReference<>(State.SERVING);
  private final CompletableFuture<Void> drained = new CompletableFuture<>();
  private final TimerService timer;

  private InFlight(TimerService timer) {
    this.timer = timer;
  }

  /**
   * Returns a counter at zero.
   *
   * @param timer source of time
   * @return counter of an instance that serves
   */
  public static InFlight of(TimerService timer) {
    return new InFlight(requireNonNull(timer, "timer"));
  }

  /**
   * Begins a call.
   *
   * @return false if calls are refused now; otherwise {@link #exit} must follow once
   */
  public boolean tryEnter() {
    calls.incrementAndGet();
    if (state.get() == State.REFUSING) {
      exit();
      return false;
    }
    return true;
  }

  /** Ends a call. */
  public void exit() {
    if (calls.decrementAndGet() == 0 && state.get() == State.REFUSING) {
      drained.complete(null);
    }
  }

  /**
   * Returns the number of calls in flight.
   *
   * @return calls that began and did not end
   */
  public long count() {
    return calls.get();
  }

  /**
   * Tells what the balancer is told.
   *
   * @return whether new calls are welcome
   */
  public boolean isHealthy() {
    return state.get() == State.SERVING;
  }

  /**
   * Begins a planned stop: health is false at once, calls are still served until the balancer has
   * seen it, and refused from then on. Calling it again has no effect.
   *
   * @param balancerDelay how long the balancer needs to send nothing more
   * @return {@link #drained}
   */
  public CompletableFuture<Void> stop(Duration balancerDelay) {
    requireNonNull(balancerDelay, "balancerDelay");
    if (state.compareAndSet(State.SERVING, State.DRAINING)) {
      timer.after(balancerDelay, this::refuse);
    }
    return drained;
  }

  /**
   * Tells when the last call has ended after a planned stop began.
   *
   * @return completes when nothing is in flight and nothing more is accepted
   */
  public CompletableFuture<Void> drained() {
    return drained;
  }

  private void refuse() {
    state.set(State.REFUSING);
    if (calls.get() == 0) {
      drained.complete(null);
    }
  }

  private enum State {
    SERVING,
    DRAINING,
    REFUSING
  }
}
