package org.snipewick.idempotency;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Predicate;
import org.snipewick.failure.Failure;
import org.snipewick.failure.FailureType;
import org.snipewick.store.Row;
import org.snipewick.store.Table;
import org.snipewick.store.Write;
import org.snipewick.store.WriteResult;
import org.snipewick.time.TimerService;

/**
 * Strongly consistent access to the platform's table. Writes whose outcome is unknown are retried:
 * as every write is conditional, a retry conflicts if an earlier attempt took effect, unless the
 * row has changed since so that the condition holds again. Current rows are taken from write
 * conflicts, as plain reads may return stale rows.
 */
final class ConsistentTable {
  private static final Duration FIRST_RETRY_DELAY = Duration.ofMillis(50);
  private static final int MAX_ATTEMPTS = 5;

  /** No row has this version, so a replacement with it always conflicts. */
  private static final long IMPOSSIBLE_VERSION = -1;

  private final Table table;
  private final TimerService timer;

  ConsistentTable(Table table, TimerService timer) {
    this.table = requireNonNull(table, "table");
    this.timer = requireNonNull(timer, "timer");
  }

  /**
   * Returns the current row of a key, taken from the conflict of a replacement that cannot apply.
   * An ambiguous result is retried once.
   *
   * @param key key of the row
   * @return the row, empty if it does not exist; fails with {@link
   *     FailureType#PLATFORM_UNAVAILABLE} if the table returns no conflict
   */
  CompletableFuture<Optional<Row>> read(String key) {
    Write probe = Write.replace(key, IMPOSSIBLE_VERSION, "");
    return table
        .write(probe)
        .thenCompose(
            result ->
                result instanceof WriteResult.Ambiguous
                    ? table.write(probe)
                    : CompletableFuture.completedFuture(result))
        .thenCompose(
            result ->
                result instanceof WriteResult.Conflict conflict
                    ? CompletableFuture.completedFuture(conflict.current())
                    : CompletableFuture.failedFuture(unavailable().toException()));
  }

  /**
   * Writes or deletes a row and determines whether this took effect. The result is ambiguous only
   * if none of the attempts could determine it.
   *
   * @param write insertion, replacement or deletion
   * @param isOwn returns whether a value in the table was written by this write
   * @return outcome of the write
   */
  CompletableFuture<WriteOutcome> write(Write write, Predicate<String> isOwn) {
    return attempt(write, isOwn, 1, FIRST_RETRY_DELAY);
  }

  private CompletableFuture<WriteOutcome> attempt(
      Write write, Predicate<String> isOwn, int attemptNumber, Duration delay) {
    return table
        .write(write)
        .thenCompose(
            result -> {
              if (result instanceof WriteResult.Ambiguous && attemptNumber < MAX_ATTEMPTS) {
                return afterDelay(delay)
                    .thenCompose(
                        unused -> attempt(write, isOwn, attemptNumber + 1, delay.multipliedBy(2)));
              }
              return CompletableFuture.completedFuture(
                  new WriteOutcome(
                      detectOwnWrite(result, isOwn, attemptNumber), attemptNumber > 1));
            });
  }

  /**
   * Converts the result of the last attempt to the result of all attempts. A conflict with a row of
   * this write means that an earlier attempt was applied. If a later attempt is rejected, it
   * remains unknown whether an earlier one was applied.
   */
  private static WriteResult detectOwnWrite(
      WriteResult result, Predicate<String> isOwn, int attemptNumber) {
    if (result instanceof WriteResult.Conflict conflict
        && conflict.current().filter(row -> isOwn.test(row.value())).isPresent()) {
      return new WriteResult.Applied(conflict.current().get().version());
    }
    return result instanceof WriteResult.Rejected rejected && attemptNumber > 1
        ? new WriteResult.Ambiguous(rejected.detail())
        : result;
  }

  private CompletableFuture<Void> afterDelay(Duration delay) {
    CompletableFuture<Void> elapsed = new CompletableFuture<>();
    var unused = timer.after(delay, () -> elapsed.complete(null));
    return elapsed;
  }

  /** Returns the failure of a request that was not dispatched because the table did not respond. */
  static Failure unavailable() {
    return Failure.unknown(
        FailureType.PLATFORM_UNAVAILABLE,
        "the platform's table does not respond; this request was not dispatched");
  }

  /**
   * Outcome of a write.
   *
   * @param result result of the write; ambiguous if it could not be determined
   * @param wasAmbiguous whether an attempt had an unknown outcome, so that it may still take effect
   */
  record WriteOutcome(WriteResult result, boolean wasAmbiguous) {

    /** Returns this outcome, marked ambiguous also if an earlier write of the same row was. */
    WriteOutcome withEarlierAmbiguity(boolean earlierAmbiguous) {
      return new WriteOutcome(result, wasAmbiguous || earlierAmbiguous);
    }
  }
}
