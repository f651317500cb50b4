package org.snipewick.store.access;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Predicate;
import org.snipewick.time.TimerService;

/**
 * Sends reads to the store: equal reads in flight share one call, and failed reads are retried
 * within the retry budget.
 */
final class ReadCoalescer {
  private final TimerService timer;
  private final CircuitBreaker circuit;
  private final RetryPolicy retries;
  private final RateLimiter limiter;
  private final Duration maxWait;
  private final Map<Object, CompletableFuture<?>> inFlight = new ConcurrentHashMap<>();

  ReadCoalescer(
      StoreSettings settings, TimerService timer, CircuitBreaker circuit, RetryPolicy retries) {
    this.timer = requireNonNull(timer, "timer");
    this.circuit = requireNonNull(circuit, "circuit");
    this.retries = requireNonNull(retries, "retries");
    limiter = new RateLimiter(timer, settings.readsPerSecond());
    maxWait = Duration.ofMillis(settings.timeoutMillis());
  }

  /** Read from the store; reads that are equal as objects can share one call. */
  interface Query<T> {

    /** Sends the read once; the future never completes exceptionally. */
    CompletableFuture<StoreResult<T>> send();
  }

  /**
   * Sends a read, or waits for an equal one that is in flight; fails if the store is unavailable.
   */
  <T> CompletableFuture<T> get(Query<T> query) {
    CompletableFuture<T> created = new CompletableFuture<>();
    // Equal queries are of one class, so their results are of one type.
    @SuppressWarnings("unchecked")
    CompletableFuture<T> shared = (CompletableFuture<T>) inFlight.putIfAbsent(query, created);
    if (shared != null) {
      return shared.copy();
    }
    retries.recordFirstAttempt();
    new Attempt<>(query, created, 1).start();
    return created.copy();
  }

  /** Stops sharing reads in flight that a write affects, as they may return the state before it. */
  void stopSharing(Predicate<Object> isAffected) {
    inFlight.keySet().removeIf(isAffected);
  }

  private final class Attempt<T> {
    private final Query<T> query;
    private final CompletableFuture<T> result;
    private final int number;

    Attempt(Query<T> query, CompletableFuture<T> result, int number) {
      this.query = query;
      this.result = result;
      this.number = number;
    }

    void start() {
      if (!circuit.isAvailable()) {
        fail("platform is unavailable");
        return;
      }
      Optional<Duration> wait = limiter.reserve(maxWait);
      if (wait.isEmpty()) {
        fail("read rate limit of this instance is exceeded");
      } else if (wait.get().isZero()) {
        send();
      } else {
        timer.after(wait.get(), this::send);
      }
    }

    private void send() {
      CompletableFuture<Void> unused = query.send().thenAccept(this::onStoreResult);
    }

    private void onStoreResult(StoreResult<T> storeResult) {
      circuit.observe(storeResult);
      if (storeResult instanceof StoreResult.Succeeded<T> succeeded) {
        unshare();
        result.complete(succeeded.value());
        return;
      }
      StoreResult.Failed<T> failed = (StoreResult.Failed<T>) storeResult;
      Optional<Duration> retryDelay =
          failed.isRetryable() ? retries.nextDelay(number) : Optional.empty();
      retryDelay.ifPresentOrElse(
          delay -> timer.after(delay, new Attempt<>(query, result, number + 1)::start),
          () -> fail(failed.detail()));
    }

    private void fail(String detail) {
      unshare();
      result.completeExceptionally(circuit.unavailable(detail).toException());
    }

    /** Must precede completion, so that a read which a completion callback starts is sent anew. */
    private void unshare() {
      inFlight.remove(query, result);
    }
  }
}
