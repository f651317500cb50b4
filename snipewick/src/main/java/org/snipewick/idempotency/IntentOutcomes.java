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
 * Writes the outcomes of this instance's actions to the table, and retries failed writes with
 * exponential backoff. Until an outcome is stored, duplicate requests at this instance are answered
 * from memory.
 */
final class IntentOutcomes {
  private static final Duration FIRST_RETRY_DELAY = Duration.ofMillis(200);
  private static final Duration MAX_RETRY_DELAY = Duration.ofSeconds(10);

  /** How long the row of an ambiguous insertion is looked for. */
  private static final Duration LATE_INSERT_SEARCH_TIME = Duration.ofMinutes(5);

  /** Once this many outcomes are not stored yet, further ones are stored without their answers. */
  private static final int MAX_OUTCOMES_WITH_ANSWER = 1_000;

  /** Once this many outcomes are not stored yet, failed writes are not retried. */
  private static final int MAX_UNSTORED_OUTCOMES = 100_000;

  private final ConcurrentMap<RequestId, IntentRow> unstored = new ConcurrentHashMap<>();
  private final ConsistentTable table;
  private final LocalIntents localIntents;
  private final TimerService timer;
  private final RandomGenerator random;
  private final EventLog events;

  IntentOutcomes(
      ConsistentTable table,
      LocalIntents localIntents,
      TimerService timer,
      RandomGenerator random,
      EventLog events) {
    this.table = requireNonNull(table, "table");
    this.localIntents = requireNonNull(localIntents, "localIntents");
    this.timer = requireNonNull(timer, "timer");
    this.random = requireNonNull(random, "random");
    this.events = requireNonNull(events, "events");
  }

  /** Returns the outcome of a request of this instance that is not in the table yet. */
  Optional<KeyState> unstoredOutcome(RequestId request) {
    return Optional.ofNullable(unstored.get(request))
        .map(
            row ->
                row.state() == IntentRow.State.UNKNOWN
                    ? new KeyState.Unknown()
                    : row.answer()
                        .<KeyState>map(KeyState.Ran::new)
                        .orElseGet(KeyState.RanWithoutAnswer::new));
  }

  /**
   * Stores an outcome. The returned future has the result of the first attempt; after a failure
   * further attempts are made in the background.
   */
  CompletableFuture<Void> store(String key, LocalIntents.LocalIntent intent) {
    IntentRow row = withoutAnswerOverLimit(intent.row());
    unstored.put(row.request(), row);
    localIntents.remove(row.request());
    return attempt(
        () -> storeOnce(key, new LocalIntents.LocalIntent(row, intent.version(), false)),
        row.request());
  }

  /**
   * Deletes the row of a request that was not dispatched. The returned future has the result of the
   * first attempt; after a failure further attempts are made in the background.
   */
  CompletableFuture<Void> delete(String key, LocalIntents.LocalIntent intent) {
    if (intent.insertWasAmbiguous()) {
      deleteLateInsert(key, intent.row());
    }
    return attempt(() -> deleteOnce(key, intent.row()), intent.row().request());
  }

  /**
   * Deletes the row of a request that will not be dispatched and whose insertion was an ambiguous
   * write. The row is looked for repeatedly, as the insertion may take effect later.
   */
  void deleteLateInsert(String key, IntentRow row) {
    deleteRepeatedly(
        key, row, FIRST_RETRY_DELAY, timer.nanoTime() + LATE_INSERT_SEARCH_TIME.toNanos());
  }

  private void deleteRepeatedly(String key, IntentRow row, Duration delay, long endNanos) {
    if (timer.nanoTime() - endNanos >= 0) {
      return;
    }
    schedule(
        delay,
        () -> {
          var unused =
              deleteOnce(key, row)
                  .whenComplete(
                      (ignored, failure) ->
                          deleteRepeatedly(key, row, delay.multipliedBy(4), endNanos));
        });
  }

  private IntentRow withoutAnswerOverLimit(IntentRow row) {
    return unstored.size() < MAX_OUTCOMES_WITH_ANSWER
        ? row
        : row.withOutcome(row.state(), Optional.empty());
  }

  private CompletableFuture<Void> attempt(TableOperation operation, RequestId request) {
    CompletableFuture<Void> first = operation.run();
    return first.whenComplete(
        (ignored, failure) -> {
          if (failure != null && unstored.size() < MAX_UNSTORED_OUTCOMES) {
            retry(operation, request, FIRST_RETRY_DELAY);
          }
        });
  }

  private void retry(TableOperation operation, RequestId request, Duration delay) {
    schedule(
        delay,
        () -> {
          var unused =
              operation
                  .run()
                  .whenComplete(
                      (ignored, failure) -> {
                        if (failure != null) {
                          retry(operation, request, nextDelay(delay));
                        } else {
                          events.record(EventType.WRITE_RESOLVED, request.toString());
                        }
                      });
        });
  }

  private CompletableFuture<Void> storeOnce(String key, LocalIntents.LocalIntent intent) {
    Write write = Write.replace(key, intent.version(), intent.row().toJson());
    return table
        .write(write, TableRequestLedger.isRowOf(intent.row()))
        .thenCompose(
            written -> {
              if (isDecided(written.result())) {
                unstored.remove(intent.row().request());
                return CompletableFuture.completedFuture(null);
              }
              return CompletableFuture.failedFuture(ConsistentTable.unavailable().toException());
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
                        .thenCompose(IntentOutcomes::requireDecided)
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

  private static CompletableFuture<Void> requireDecided(ConsistentTable.WriteOutcome written) {
    return isDecided(written.result())
        ? CompletableFuture.completedFuture(null)
        : CompletableFuture.failedFuture(ConsistentTable.unavailable().toException());
  }

  private void schedule(Duration delay, Runnable task) {
    double jitter = 0.5 + random.nextDouble();
    var unused = timer.after(Duration.ofNanos((long) (delay.toNanos() * jitter)), task);
  }

  private static Duration nextDelay(Duration delay) {
    Duration doubled = delay.multipliedBy(2);
    return doubled.compareTo(MAX_RETRY_DELAY) > 0 ? MAX_RETRY_DELAY : doubled;
  }

  private interface TableOperation {
    CompletableFuture<Void> run();
  }
}
