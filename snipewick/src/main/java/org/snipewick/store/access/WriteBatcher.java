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
 * Sends writes of concurrent callers in shared calls, one call at a time, and gives each write the
 * result of its own condition.
 */
final class WriteBatcher {
  private static final Duration UNLIMITED = Duration.ofNanos(Long.MAX_VALUE);
  private static final int INTERVALS_TO_WAIT = 2;

  private final StoreSettings settings;
  private final Transactions transactions;
  private final TimerService timer;
  private final CircuitBreaker circuit;
  private final RetryPolicy retries;
  private final RateLimiter limiter;
  private final Duration longestWait;
  private final Queue<Pending> queue = new ConcurrentLinkedQueue<>();
  private final AtomicInteger waiting = new AtomicInteger();
  private final AtomicBoolean sending = new AtomicBoolean();

  /** Makes writes in one transaction; the result never fails. */
  @FunctionalInterface
  interface Transactions {
    CompletableFuture<Reply<TransactionResult>> transact(List<Write> writes);
  }

  private record Pending(Write write, long sinceNanos, CompletableFuture<WriteResult> result) {}

  WriteBatcher(
      StoreSettings settings,
      Transactions transactions,
      TimerService timer,
      CircuitBreaker circuit,
      RetryPolicy retries,
      DoubleSupplier callsPerSecond) {
    this.settings = requireNonNull(settings, "settings");
    this.transactions = requireNonNull(transactions, "transactions");
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
    return StoreLimits.refusal(write).map(WriteBatcher::rejected).orElseGet(() -> enqueue(write));
  }

  private CompletableFuture<WriteResult> enqueue(Write write) {
    if (waiting.incrementAndGet() > settings.batching().maxWaiting()) {
      waiting.decrementAndGet();
      return rejected("too many writes are waiting");
    }
    CompletableFuture<WriteResult> result = new CompletableFuture<>();
    queue.add(new Pending(write, timer.nanoTime(), result));
    wake();
    return result.copy();
  }

  private void wake() {
    if (sending.compareAndSet(false, true)) {
      after(Duration.ofMillis(settings.batching().lingerMillis()), this::reserve);
    }
  }

  private void reserve() {
    after(limiter.reserve(UNLIMITED).orElse(Duration.ZERO), this::sendNext);
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
    CompletableFuture<Void> unused =
        transactions
            .transact(batch.stream().map(Pending::write).toList())
            .thenAccept(reply -> onReply(batch, attempt, reply));
  }

  private void onReply(List<Pending> batch, int attempt, Reply<TransactionResult> reply) {
    circuit.observe(reply);
    if (reply instanceof Reply.Answered<TransactionResult> answered) {
      onResult(batch, answered.value());
      return;
    }
    Reply.Failed<TransactionResult> failed = (Reply.Failed<TransactionResult>) reply;
    if (!failed.hadNoEffect()) {
      complete(batch, new WriteResult.Ambiguous(failed.detail()));
      continueSending();
      return;
    }
    Optional<Duration> next = failed.isWorthRepeating() ? retries.next(attempt) : Optional.empty();
    next.ifPresentOrElse(
        delay -> after(delay, () -> send(batch, attempt + 1)),
        () -> {
          complete(batch, new WriteResult.Rejected(failed.detail()));
          continueSending();
        });
  }

  /**
   * A transaction is refused as a whole: the writes whose own conditions fail get their conflict,
   * and the others go into a further transaction.
   */
  private void onResult(List<Pending> batch, TransactionResult result) {
    if (result instanceof TransactionResult.Committed committed) {
      complete(batch, new WriteResult.Applied(committed.version()));
      continueSending();
      return;
    }
    Map<String, TableRow> current = new HashMap<>();
    ((TransactionResult.Refused) result).current().forEach(row -> current.put(row.key(), row));
    List<Pending> others = new ArrayList<>();
    for (Pending pending : batch) {
      Optional<TableRow> row = Optional.ofNullable(current.get(pending.write().key()));
      if (holds(pending.write(), row)) {
        others.add(pending);
      } else {
        pending.result().complete(new WriteResult.Conflict(row.map(StoreTable::row)));
      }
    }
    if (others.size() == batch.size()) {
      complete(batch, new WriteResult.Rejected("refused though all conditions hold"));
      continueSending();
    } else if (others.isEmpty()) {
      continueSending();
    } else {
      after(limiter.reserve(UNLIMITED).orElse(Duration.ZERO), () -> send(others, 1));
    }
  }

  private static boolean holds(Write write, Optional<TableRow> row) {
    if (write instanceof Write.Insert) {
      return row.isEmpty();
    }
    long version =
        write instanceof Write.Replace replace
            ? replace.version()
            : ((Write.Delete) write).version();
    return row.filter(present -> present.version() == version).isPresent();
  }

  private void continueSending() {
    if (queue.isEmpty()) {
      rest();
    } else {
      reserve();
    }
  }

  /** Takes writes until the call is full or a second write to the same row comes. */
  private List<Pending> takeBatch() {
    List<Pending> batch = new ArrayList<>();
    Set<String> keys = new HashSet<>();
    int bytes = 0;
    long oldestNanos = timer.nanoTime() - longestWait().toNanos();
    for (Pending next = queue.peek(); next != null; next = queue.peek()) {
      bytes += StoreLimits.encodedBytes(next.write());
      boolean isFull =
          batch.size() == settings.batching().maxRows() || bytes > StoreLimits.CALL_BYTES;
      if (isFull || keys.contains(next.write().key())) {
        break;
      }
      queue.remove();
      waiting.decrementAndGet();
      if (next.sinceNanos() < oldestNanos) {
        next.result().complete(new WriteResult.Rejected("waited too long to be sent"));
      } else {
        batch.add(next);
        keys.add(next.write().key());
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
