package org.snipewick.store.access;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.DoubleSupplier;
import org.snipewick.store.TableRow;
import org.snipewick.store.Write;
import org.snipewick.store.WriteResult;
import org.snipewick.time.TimerService;

/**
 * Sends concurrent writes in shared calls, one call at a time, and returns to each write the result
 * of its own condition. Safe for use by several threads.
 */
final class WriteBatcher {
  private static final Duration UNLIMITED_WAIT = Duration.ofNanos(Long.MAX_VALUE);

  /** Number of intervals between calls for which a write may be queued even after the timeout. */
  private static final int MIN_QUEUE_INTERVALS = 2;

  private final StoreSettings settings;
  private final TransactionCall transactionCall;
  private final TimerService timer;
  private final CircuitBreaker circuit;
  private final RetryPolicy retries;
  private final RateLimiter limiter;
  private final Duration callTimeout;
  private final Queue<Pending> queue = new ConcurrentLinkedQueue<>();
  private final AtomicInteger queuedWrites = new AtomicInteger();
  private final AtomicBoolean sending = new AtomicBoolean();

  /** Sends writes in one transaction; the future never completes exceptionally. */
  @FunctionalInterface
  interface TransactionCall {
    CompletableFuture<StoreResult<TransactionResult>> transact(List<Write> writes);
  }

  private record Pending(Write write, long queuedAtNanos, CompletableFuture<WriteResult> result) {}

  WriteBatcher(
      StoreSettings settings,
      TransactionCall transactionCall,
      TimerService timer,
      CircuitBreaker circuit,
      RetryPolicy retries,
      DoubleSupplier callsPerSecond) {
    this.settings = requireNonNull(settings, "settings");
    this.transactionCall = requireNonNull(transactionCall, "transactionCall");
    this.timer = requireNonNull(timer, "timer");
    this.circuit = requireNonNull(circuit, "circuit");
    this.retries = requireNonNull(retries, "retries");
    limiter = new RateLimiter(timer, callsPerSecond);
    callTimeout = Duration.ofMillis(settings.timeoutMillis());
  }

  /** Queues a write and returns its result; the future never completes exceptionally. */
  CompletableFuture<WriteResult> add(Write write) {
    requireNonNull(write, "write");
    if (!circuit.isAvailable()) {
      return rejected("platform is unavailable");
    }
    return StoreLimits.rejectionReason(write)
        .map(WriteBatcher::rejected)
        .orElseGet(() -> enqueue(write));
  }

  private CompletableFuture<WriteResult> enqueue(Write write) {
    if (queuedWrites.incrementAndGet() > settings.batching().maxWaiting()) {
      queuedWrites.decrementAndGet();
      return rejected("too many writes are queued");
    }
    CompletableFuture<WriteResult> result = new CompletableFuture<>();
    queue.add(new Pending(write, timer.nanoTime(), result));
    startSending();
    return result.copy();
  }

  private void startSending() {
    if (sending.compareAndSet(false, true)) {
      runAfter(Duration.ofMillis(settings.batching().lingerMillis()), this::scheduleNext);
    }
  }

  private void scheduleNext() {
    runAfter(limiter.reserve(UNLIMITED_WAIT).orElse(Duration.ZERO), this::sendNext);
  }

  private void sendNext() {
    List<Pending> batch = nextBatch();
    if (batch.isEmpty()) {
      stopSending();
      return;
    }
    retries.recordFirstAttempt();
    send(batch, 1);
  }

  private void stopSending() {
    sending.set(false);
    if (!queue.isEmpty()) {
      startSending();
    }
  }

  private void send(List<Pending> batch, int attempt) {
    if (!circuit.isAvailable()) {
      complete(batch, new WriteResult.Rejected("platform is unavailable"));
      continueSending();
      return;
    }
    CompletableFuture<Void> unused =
        transactionCall
            .transact(batch.stream().map(Pending::write).toList())
            .thenAccept(storeResult -> onStoreResult(batch, attempt, storeResult));
  }

  private void onStoreResult(
      List<Pending> batch, int attempt, StoreResult<TransactionResult> storeResult) {
    circuit.observe(storeResult);
    if (storeResult instanceof StoreResult.Succeeded<TransactionResult> succeeded) {
      onTransactionResult(batch, succeeded.value());
      return;
    }
    StoreResult.Failed<TransactionResult> failed =
        (StoreResult.Failed<TransactionResult>) storeResult;
    if (!failed.hadNoEffect()) {
      complete(batch, new WriteResult.Ambiguous(failed.detail()));
      continueSending();
      return;
    }
    Optional<Duration> retryDelay =
        failed.isRetryable() ? retries.nextDelay(attempt) : Optional.empty();
    retryDelay.ifPresentOrElse(
        delay -> runAfter(delay, () -> send(batch, attempt + 1)),
        () -> {
          complete(batch, new WriteResult.Rejected(failed.detail()));
          continueSending();
        });
  }

  /**
   * Completes the writes of a batch. A conflict fails the whole transaction: the writes whose own
   * conditions do not hold complete with a conflict, and the others are sent in a further
   * transaction.
   */
  private void onTransactionResult(List<Pending> batch, TransactionResult result) {
    if (result instanceof TransactionResult.Committed committed) {
      complete(batch, new WriteResult.Applied(committed.version(), committed.era()));
      continueSending();
      return;
    }
    Map<String, TableRow> current = new HashMap<>();
    ((TransactionResult.Conflict) result).current().forEach(row -> current.put(row.key(), row));
    List<Pending> remaining = new ArrayList<>();
    for (Pending pending : batch) {
      Optional<TableRow> row = Optional.ofNullable(current.get(pending.write().key()));
      if (conditionHolds(pending.write(), row)) {
        remaining.add(pending);
      } else {
        pending.result().complete(new WriteResult.Conflict(row.map(StoreTable::row)));
      }
    }
    if (remaining.size() == batch.size()) {
      complete(
          batch,
          new WriteResult.Rejected("store reported a conflict although all conditions hold"));
      continueSending();
    } else if (remaining.isEmpty()) {
      continueSending();
    } else {
      runAfter(limiter.reserve(UNLIMITED_WAIT).orElse(Duration.ZERO), () -> send(remaining, 1));
    }
  }

  private static boolean conditionHolds(Write write, Optional<TableRow> row) {
    if (write instanceof Write.Insert) {
      return row.isEmpty();
    }
    long version =
        write instanceof Write.Replace replace
            ? replace.version()
            : ((Write.Delete) write).version();
    return row.filter(current -> current.version() == version).isPresent();
  }

  private void continueSending() {
    if (queue.isEmpty()) {
      stopSending();
    } else {
      scheduleNext();
    }
  }

  /**
   * Removes the writes of the next call from the queue, until the call is full or a second write to
   * the same row follows. Writes that were queued for too long are rejected.
   */
  private List<Pending> nextBatch() {
    List<Pending> batch = new ArrayList<>();
    Set<String> keys = new HashSet<>();
    int bytes = 0;
    long earliestQueuedAtNanos = timer.nanoTime() - maxQueueTime().toNanos();
    for (Pending next = queue.peek(); next != null; next = queue.peek()) {
      bytes += StoreLimits.encodedBytes(next.write());
      boolean isFull =
          batch.size() == settings.batching().maxRows() || bytes > StoreLimits.MAX_CALL_BYTES;
      if (isFull || keys.contains(next.write().key())) {
        break;
      }
      queue.remove();
      queuedWrites.decrementAndGet();
      if (next.queuedAtNanos() < earliestQueuedAtNanos) {
        next.result()
            .complete(new WriteResult.Rejected("queued for too long before it could be sent"));
      } else {
        batch.add(next);
        keys.add(next.write().key());
      }
    }
    return batch;
  }

  /**
   * Returns the maximum time that a write may be queued: the timeout of a call, or two intervals
   * between calls if the rate is so low that these are longer.
   */
  private Duration maxQueueTime() {
    Duration byRate = limiter.interval().multipliedBy(MIN_QUEUE_INTERVALS);
    return byRate.compareTo(callTimeout) > 0 ? byRate : callTimeout;
  }

  private void runAfter(Duration delay, Runnable task) {
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
