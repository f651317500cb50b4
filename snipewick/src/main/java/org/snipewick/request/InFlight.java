package org.snipewick.request;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import org.snipewick.time.TimerService;

/** Counts the calls in flight, and lets them finish in a planned stop. Thread-safe. */
public final class InFlight {
  private final AtomicLong calls = new AtomicLong();
  private final AtomicReference<State> state = new AtomicReference<>(State.SERVING);
  private final CompletableFuture<Void> drained = new CompletableFuture<>();
  private final TimerService timer;

  private InFlight(TimerService timer) {
    this.timer = timer;
  }

  /**
   * Returns a counter without calls, which accepts calls.
   *
   * @param timer timer service
   * @return counter
   */
  public static InFlight of(TimerService timer) {
    return new InFlight(requireNonNull(timer, "timer"));
  }

  /**
   * Counts a call that begins.
   *
   * @return true if the call is accepted, and {@link #exit} must be invoked once when it ends;
   *     false if calls are refused
   */
  public boolean tryEnter() {
    calls.incrementAndGet();
    if (state.get() == State.REFUSING) {
      exit();
      return false;
    }
    return true;
  }

  /** Counts the end of a call that was accepted. */
  public void exit() {
    if (calls.decrementAndGet() == 0 && state.get() == State.REFUSING) {
      drained.complete(null);
    }
  }

  /**
   * Returns the number of calls in flight.
   *
   * @return calls that began and have not ended
   */
  public long count() {
    return calls.get();
  }

  /**
   * Returns whether the health check of the instance succeeds.
   *
   * @return whether the load balancer may send new calls
   */
  public boolean isHealthy() {
    return state.get() == State.SERVING;
  }

  /**
   * Begins a planned stop. {@link #isHealthy} returns false at once. Calls are still accepted until
   * {@code balancerDelay} has passed, and refused from then on. Only the first invocation has an
   * effect.
   *
   * @param balancerDelay time after which the load balancer sends no more calls
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
   * Returns the end of the last call in a planned stop.
   *
   * @return future that completes when calls are refused and none is in flight
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
