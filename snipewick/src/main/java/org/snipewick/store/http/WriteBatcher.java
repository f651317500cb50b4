package org.snipewick.store.http;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.DoubleSupplier;
import org.snipewick.store.Write;
import org.snipewick.store.WriteResult;
import org.snipewick.time.TimerService;

/**
 * Sends writes of concurrent callers in shared calls, one call at a time, and gives each write the
 * result of its own condition.
 */
final class WriteBatcher {
  private static final int MAX_BATCH_BYTES = 1_000_000;
  private static final int INTERVALS_TO_WAIT = 2;

  private final PlatformSettings settings;
  private final Calls calls;
  private final TimerService timer;
  private final CircuitBreaker circuit;
  private final RetryPolicy retries;
  private final RateLimiter limiter;
  private final Duration longestWait;
  private final Queue<Pending> queue = new ConcurrentLinkedQueue<>();
  private final AtomicInteger waiting = new AtomicInteger();
  private final AtomicBoolean sending = new AtomicBoolean();

  /** Sends a call to the platform; the result never fails. */
  @FunctionalInterface
  interface Calls {
    CompletableFuture<Reply> send(String method, String path, byte[] body);
  }

  private record Pending(
      byte[] operation, long sinceNanos, CompletableFuture<WriteResult> result) {}

  WriteBatcher(
      PlatformSettings settings,
      Calls calls,
      TimerService timer,
      CircuitBreaker circuit,
      RetryPolicy retries,
      DoubleSupplier callsPerSecond) {
    this.settings = requireNonNull(settings, "settings");
    this.calls = requireNonNull(calls, "calls");
    this.timer = requireNonNull(timer, "timer");
    this.circuit = requireNonNull(circuit, "circuit");
    this.retries = requireNonNull(retries, "retries");
    limiter = new RateLimiter(timer, callsPerSecond);
    longestWait = Duration.ofMillis(settings.timeoutMillis());
  }

  /** Queues a write; the result never fails. */
  CompletableFuture<WriteResult> add(Write write) {
    requireNonNull(write, "write");
    if (!circuit.isAvailable()) {
      return rejected("platform is unavailable");
    }
    return TableFormat.operation(write)
        .map(this::enqueue)
        .orElseGet(() -> rejected("key or value is not valid text"));
  }

  private CompletableFuture<WriteResult> enqueue(byte[] operation) {
    if (waiting.incrementAndGet() > settings.batching().maxWaiting()) {
      waiting.decrementAndGet();
      return rejected("too many writes are waiting");
    }
    CompletableFuture<WriteResult> result = new CompletableFuture<>();
    queue.add(new Pending(operation, timer.nanoTime(), result));
    wake();
    return result.copy();
  }

  private void wake() {
    if (sending.compareAndSet(false, true)) {
      after(Duration.ofMillis(settings.batching().lingerMillis()), this::reserve);
    }
  }

  private void reserve() {
    Duration unlimited = Duration.ofNanos(Long.MAX_VALUE);
    after(limiter.reserve(unlimited).orElse(Duration.ZERO), this::sendNext);
  }

  private void sendNext() {
    List<Pending> batch = takeBatch();
    if (batch.isEmpty()) {
      rest();
      return;
    }
    retries.recordFirstAttempt();
    send(batch, 1);
  }

  private void rest() {
    sending.set(false);
    if (!queue.isEmpty()) {
      wake();
    }
  }

  private void send(List<Pending> batch, int attempt) {
    if (!circuit.isAvailable()) {
      complete(batch, new WriteResult.Rejected("platform is unavailable"));
      continueSending();
      return;
    }
    byte[] body = TableFormat.batch(batch.stream().map(Pending::operation).toList());
    calls.send("POST", TableFormat.TABLE, body).thenAccept(reply -> onReply(batch, attempt, reply));
  }

  private void onReply(List<Pending> batch, int attempt, Reply reply) {
    circuit.observe(reply);
    if (reply.hadNoEffect()) {
      Optional<Duration> next = reply.isWorthRepeating() ? retries.next(attempt) : Optional.empty();
      next.ifPresentOrElse(
          delay -> after(delay, () -> send(batch, attempt + 1)),
          () -> {
            complete(batch, new WriteResult.Rejected(reply.detail()));
            continueSending();
          });
      return;
    }
    List<WriteResult> results = TableFormat.results(reply, batch.size());
    for (int index = 0; index < batch.size(); index++) {
      batch.get(index).result().complete(results.get(index));
    }
    continueSending();
  }

  private void continueSending() {
    if (queue.isEmpty()) {
      rest();
    } else {
      reserve();
    }
  }

  private List<Pending> takeBatch() {
    List<Pending> batch = new ArrayList<>();
    int bytes = 0;
    long oldestNanos = timer.nanoTime() - longestWait().toNanos();
    while (batch.size() < settings.batching().maxRows() && bytes < MAX_BATCH_BYTES) {
      Pending next = queue.poll();
      if (next == null) {
        break;
      }
      waiting.decrementAndGet();
      if (next.sinceNanos() < oldestNanos) {
        next.result().complete(new WriteResult.Rejected("waited too long to be sent"));
      } else {
        batch.add(next);
        bytes += next.operation().length;
      }
    }
    return batch;
  }

  /** Returns the time-out, or more if the rate alone makes writes wait for longer. */
  private Duration longestWait() {
    Duration byRate = limiter.interval().multipliedBy(INTERVALS_TO_WAIT);
    return byRate.compareTo(longestWait) > 0 ? byRate : longestWait;
  }

  private void after(Duration delay, Runnable task) {
    if (delay.isZero()) {
      task.run();
    } else {
      timer.after(delay, task);
    }
  }

  private static void complete(List<Pending> batch, WriteResult result) {
    batch.forEach(pending -> pending.result().complete(result));
  }

  private static CompletableFuture<WriteResult> rejected(String detail) {
    return CompletableFuture.completedFuture(new WriteResult.Rejected(detail));
  }
}
