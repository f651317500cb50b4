package org.snipewick.pool;

import static java.util.Objects.requireNonNull;

import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import org.snipewick.identity.RequestId;
import org.snipewick.time.TimerService;

/** Permit that a scheduler granted to one request. Thread-safe. */
final class GrantedPermit implements PoolClient.Permit {
  private static final long NANOS_PER_MILLI = 1_000_000L;

  private final RequestId request;
  private final EndpointStatus endpoint;
  private final TimerService timer;
  private final long expiryNanos;
  private final Consumer<WorkEvent> eventListener;
  private final AtomicReference<State> state = new AtomicReference<>(State.UNUSED);
  private final AtomicInteger outputTokens = new AtomicInteger();
  private final AtomicBoolean firstTokenReported = new AtomicBoolean();
  private volatile long usedNanos;

  private enum State {
    UNUSED,
    USED,
    ENDED
  }

  GrantedPermit(
      RequestId request,
      EndpointStatus endpoint,
      long validMillis,
      TimerService timer,
      Consumer<WorkEvent> eventListener) {
    this.request = requireNonNull(request, "request");
    this.endpoint = requireNonNull(endpoint, "endpoint");
    this.timer = requireNonNull(timer, "timer");
    this.eventListener = requireNonNull(eventListener, "eventListener");
    this.expiryNanos = timer.nanoTime() + validMillis * NANOS_PER_MILLI;
  }

  @Override
  public EndpointStatus endpoint() {
    return endpoint;
  }

  @Override
  public boolean use() {
    long now = timer.nanoTime();
    boolean used = now - expiryNanos < 0 && state.compareAndSet(State.UNUSED, State.USED);
    if (used) {
      usedNanos = now;
    }
    return used;
  }

  @Override
  public void reportFirstToken() {
    if (firstTokenReported.compareAndSet(false, true)) {
      outputTokens.compareAndSet(0, 1);
      long millis = (timer.nanoTime() - usedNanos) / NANOS_PER_MILLI;
      eventListener.accept(new WorkEvent.FirstToken(request, millis));
    }
  }

  @Override
  public void reportProgress(int tokens) {
    outputTokens.accumulateAndGet(tokens, Math::max);
  }

  @Override
  public void finish(WorkEvent.Result result, int tokens) {
    if (state.getAndSet(State.ENDED) != State.ENDED) {
      eventListener.accept(new WorkEvent.Finished(request, result, tokens));
    }
  }

  /** Ends the permit if it is unused; returns whether it did. */
  boolean expire() {
    return state.compareAndSet(State.UNUSED, State.ENDED);
  }

  int outputTokens() {
    return outputTokens.get();
  }
}
