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
 * Conditional writes whose lost answers are resolved. A write is repeated only if a repetition
 * cannot take effect twice; what stands in the table is learnt from the conditions of writes, as
 * plain reads may be old.
 */
final class StrongTable {
  private static final Duration FIRST_DELAY = Duration.ofMillis(50);
  private static final int MAX_ATTEMPTS = 5;
  private static final long NO_VERSION = -1;

  private final Table table;
  private final TimerService timer;

  StrongTable(Table table, TimerService timer) {
    this.table = requireNonNull(table, "table");
    this.timer = requireNonNull(timer, "timer");
  }

  /** Reads the latest version of a row, by a replacement that cannot apply. */
  CompletableFuture<Optional<Row>> read(String key) {
    Write question = Write.replace(key, NO_VERSION, "");
    return table
        .write(question)
        .thenCompose(
            result ->
                result instanceof WriteResult.Ambiguous
                    ? table.write(question)
                    : CompletableFuture.completedFuture(result))
        .thenCompose(
            result ->
                result instanceof WriteResult.Conflict conflict
                    ? CompletableFuture.completedFuture(conflict.current())
                    : CompletableFuture.failedFuture(unavailable().toException()));
  }

  /**
   * Writes a row and finds out whether the write took effect. The result is ambiguous only if the
   * table gave no clear answer for all attempts.
   *
   * @param write insertion or replacement
   * @param isOwn recognises the written value
   */
  CompletableFuture<Resolved> write(Write write, Predicate<String> isOwn) {
    return attempt(write, isOwn, 1, FIRST_DELAY);
  }

  private CompletableFuture<Resolved> attempt(
      Write write, Predicate<String> isOwn, int number, Duration delay) {
    return table
        .write(write)
        .thenCompose(
            result -> {
              if (result instanceof WriteResult.Ambiguous && number < MAX_ATTEMPTS) {
                return after(delay)
                    .thenCompose(
                        unused -> attempt(write, isOwn, number + 1, delay.multipliedBy(2)));
              }
              return CompletableFuture.completedFuture(
                  new Resolved(recognise(result, isOwn, number), number > 1));
            });
  }

  private static WriteResult recognise(WriteResult result, Predicate<String> isOwn, int number) {
    if (result instanceof WriteResult.Conflict conflict
        && conflict.current().filter(row -> isOwn.test(row.value())).isPresent()) {
      return new WriteResult.Applied(conflict.current().get().version());
    }
    return result instanceof WriteResult.Rejected rejected && number > 1
        ? new WriteResult.Ambiguous(rejected.detail())
        : result;
  }

  private CompletableFuture<Void> after(Duration delay) {
    CompletableFuture<Void> reached = new CompletableFuture<>();
    var unused = timer.after(delay, () -> reached.complete(null));
    return reached;
  }

  static Failure unavailable() {
    return Failure.unknown(
        FailureType.PLATFORM_UNAVAILABLE,
        "the platform's table does not answer; this call was not dispatched");
  }

  /**
   * Result of a write.
   *
   * @param result what stands; ambiguous if that was not found out
   * @param doubted whether an attempt got no answer, so that a copy of it may still be on its way
   */
  record Resolved(WriteResult result, boolean doubted) {

    /** Returns this result, in doubt also if an earlier write of the same row was. */
    Resolved after(boolean earlierDoubt) {
      return new Resolved(result, doubted || earlierDoubt);
    }
  }
}
