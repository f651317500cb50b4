package org.snipewick.store.access;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.snipewick.event.EventLog;
import org.snipewick.event.EventType;
import org.snipewick.failure.Failure;
import org.snipewick.failure.FailureType;
import org.snipewick.store.PlatformHealth;
import org.snipewick.time.TimerService;

/** Circuit breaker that opens after consecutive failures and closes when a probe succeeds. */
final class CircuitBreaker implements PlatformHealth {
  private final StoreSettings.Circuit settings;
  private final TimerService timer;
  private final EventLog events;
  private final RandomGenerator random;
  private final Supplier<? extends CompletableFuture<? extends StoreResult<?>>> probe;
  private final AtomicReference<State> state = new AtomicReference<>(new State(0, false));

  private record State(int failures, boolean open) {}

  CircuitBreaker(
      StoreSettings.Circuit settings,
      TimerService timer,
      EventLog events,
      RandomGenerator random,
      Supplier<? extends CompletableFuture<? extends StoreResult<?>>> probe) {
    this.settings = requireNonNull(settings, "settings");
    this.timer = requireNonNull(timer, "timer");
    this.events = requireNonNull(events, "events");
    this.random = requireNonNull(random, "random");
    this.probe = requireNonNull(probe, "probe");
  }

  @Override
  public boolean isAvailable() {
    return !state.get().open();
  }

  @Override
  public Duration retryAfter() {
    return Duration.ofMillis(2 * settings.probeMillis());
  }

  /** Returns a failure with outcome {@code NOT_RUN} and the time after which to retry. */
  Failure unavailable(String detail) {
    return Failure.notRun(FailureType.PLATFORM_UNAVAILABLE, detail).withRetryAfter(retryAfter());
  }

  /** Counts the result of a call, and opens the circuit after too many consecutive failures. */
  void observe(StoreResult<?> result) {
    boolean storeAvailable = result.showsStoreAvailable();
    State previous =
        state.getAndUpdate(
            current -> {
              if (current.open()) {
                return current;
              }
              int failures = storeAvailable ? 0 : current.failures() + 1;
              return new State(failures, failures >= settings.failuresToOpen());
            });
    boolean opened =
        !storeAvailable && !previous.open() && previous.failures() + 1 >= settings.failuresToOpen();
    if (opened) {
      events.record(EventType.PLATFORM_LOST, "", Map.of("detail", detailOf(result)));
      probeLater();
    }
  }

  private void probeLater() {
    long probeMillis = settings.probeMillis();
    Duration delay = Duration.ofMillis(probeMillis / 2 + random.nextLong(probeMillis + 1));
    timer.after(delay, () -> probe.get().thenAccept(this::onProbeResult));
  }

  private void onProbeResult(StoreResult<?> result) {
    if (result.showsStoreAvailable()) {
      state.set(new State(0, false));
      events.record(EventType.PLATFORM_REGAINED, "");
    } else {
      probeLater();
    }
  }

  private static String detailOf(StoreResult<?> result) {
    return result instanceof StoreResult.Failed<?> failed ? failed.detail() : "";
  }
}
