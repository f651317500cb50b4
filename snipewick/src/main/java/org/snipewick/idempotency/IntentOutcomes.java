package org.snipewick.idempotency;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.random.RandomGenerator;
import org.snipewick.event.EventLog;
import org.snipewick.event.EventType;
import org.snipewick.identity.RequestId;
import org.snipewick.store.Row;
import org.snipewick.store.Write;
import org.snipewick.store.WriteResult;
import org.snipewick.time.TimerService;

/**
 * Writes what became of own actions to the table, repeated with growing delays until it stands.
 * While an outcome waits, repeats at this instance are answered from memory.
 */
final class IntentOutcomes {
  private static final Duration FIRST_DELAY = Duration.ofMillis(200);
  private static final Duration MAX_DELAY = Duration.ofSeconds(10);
  private static final Duration STRAY_WATCH = Duration.ofMinutes(5);
  private static final int MAX_WAITING_ANSWERS = 1_000;
  private static final int MAX_WAITING = 100_000;

  private final ConcurrentMap<RequestId, IntentRow> waiting = new ConcurrentHashMap<>();
  private final StrongTable table;
  private final OwnIntents own;
  private final TimerService timer;
  private final RandomGenerator random;
  private final EventLog events;

  IntentOutcomes(
      StrongTable table,
      OwnIntents own,
      TimerService timer,
      RandomGenerator random,
      EventLog events) {
    this.table = requireNonNull(table, "table");
    this.own = requireNonNull(own, "own");
    this.timer = requireNonNull(timer, "timer");
    this.random = requireNonNull(random, "random");
    this.events = requireNonNull(events, "events");
  }

  /** Returns the outcome of an own call that is not in the table yet. */
  Optional<KeyState> pending(RequestId request) {
    return Optional.ofNullable(waiting.get(request))
        .map(
            row ->
                row.state() == IntentRow.State.UNKNOWN
                    ? new KeyState.Unknown()
                    : row.answer()
                        .<KeyState>map(KeyState.Ran::new)
                        .orElseGet(KeyState.RanWithoutAnswer::new));
  }

  /** Stores an outcome; fails after the first attempt that fails, and goes on by itself. */
  CompletableFuture<Void> store(String key, OwnIntents.Held held) {
    IntentRow row = bounded(held.row());
    waiting.put(row.request(), row);
    own.forget(row.request());
    return attempt(
        () -> storeOnce(key, new OwnIntents.Held(row, held.version(), false)), row.request());
  }

  /** Deletes the row of a call that was not dispatched; goes on by itself after a failure. */
  CompletableFuture<Void> delete(String key, OwnIntents.Held held) {
    if (held.doubted()) {
      removeStray(key, held.row());
    }
    return attempt(() -> deleteOnce(key, held.row()), held.row().request());
  }

  /** Watches for an insertion whose answer was lost and whose call was refused, and deletes it. */
  void removeStray(String key, IntentRow row) {
    watch(key, row, FIRST_DELAY, timer.nanoTime() + STRAY_WATCH.toNanos());
  }

  private void watch(String key, IntentRow row, Duration delay, long endNanos) {
    if (timer.nanoTime() - endNanos >= 0) {
      return;
    }
    later(
        delay,
        () -> {
          var unused =
              deleteOnce(key, row)
                  .whenComplete(
                      (done, failure) -> watch(key, row, delay.multipliedBy(4), endNanos));
        });
  }

  private IntentRow bounded(IntentRow row) {
    return waiting.size() < MAX_WAITING_ANSWERS
        ? row
        : row.withOutcome(row.state(), Optional.empty());
  }

  private CompletableFuture<Void> attempt(Step step, RequestId request) {
    CompletableFuture<Void> first = step.run();
    return first.whenComplete(
        (done, failure) -> {
          if (failure != null && waiting.size() < MAX_WAITING) {
            repeat(step, request, FIRST_DELAY);
          }
        });
  }

  private void repeat(Step step, RequestId request, Duration delay) {
    later(
        delay,
        () -> {
          var unused =
              step.run()
                  .whenComplete(
                      (done, failure) -> {
                        if (failure != null) {
                          repeat(step, request, next(delay));
                        } else {
                          events.record(EventType.WRITE_RESOLVED, request.toString());
                        }
                      });
        });
  }

  private CompletableFuture<Void> storeOnce(String key, OwnIntents.Held held) {
    Write write = Write.replace(key, held.version(), held.row().toJson());
    return table
        .write(write, TableRequestLedger.isOwn(held.row()))
        .thenCompose(
            written -> {
              if (isDecided(written.result())) {
                waiting.remove(held.row().request());
                return CompletableFuture.completedFuture(null);
              }
              return CompletableFuture.failedFuture(StrongTable.unavailable().toException());
            });
  }

  private CompletableFuture<Void> deleteOnce(String key, IntentRow row) {
    return table
        .read(key)
        .thenCompose(
            current ->
                current.filter(found -> isIntent(found, row)).isPresent()
                    ? table
                        .write(Write.delete(key, current.get().version()), value -> false)
                        .thenCompose(IntentOutcomes::deleted)
                    : CompletableFuture.completedFuture(null));
  }

  private static boolean isIntent(Row found, IntentRow row) {
    return IntentRow.parse(found.value())
        .filter(intent -> intent.token().equals(row.token()))
        .filter(intent -> intent.state() == IntentRow.State.INTENT)
        .isPresent();
  }

  private static boolean isDecided(WriteResult result) {
    return result instanceof WriteResult.Applied || result instanceof WriteResult.Conflict;
  }

  private static CompletableFuture<Void> deleted(StrongTable.Resolved written) {
    return isDecided(written.result())
        ? CompletableFuture.completedFuture(null)
        : CompletableFuture.failedFuture(StrongTable.unavailable().toException());
  }

  private void later(Duration delay, Runnable task) {
    double jitter = 0.5 + random.nextDouble();
    var unused = timer.after(Duration.ofNanos((long) (delay.toNanos() * jitter)), task);
  }

  private static Duration next(Duration delay) {
    Duration doubled = delay.multipliedBy(2);
    return doubled.compareTo(MAX_DELAY) > 0 ? MAX_DELAY : doubled;
  }

  private interface Step {
    CompletableFuture<Void> run();
  }
}
