package org.snipewick.store;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import org.snipewick.event.EventLog;
import org.snipewick.event.EventType;
import org.snipewick.time.TimerService;

/**
 * Finds out whether a write whose answer was lost took effect.
 *
 * <p>A read that shows the writer's own token proves that it did. A read without the token proves
 * nothing, as it may be stale and the write may still be on its way; so the same conditional write
 * is sent again. Its condition lets at most one of the two take effect, and a conflict shows the
 * row as it stands.
 */
public final class DoubtfulWrites {
  private static final long BASE_BACKOFF_MILLIS = 20;
  private static final long MAX_BACKOFF_MILLIS = 500;
  private static final int MAX_DOUBLINGS = 10;

  private final Table table;
  private final TimerService timer;
  private final EventLog events;
  private final RandomGenerator random;
  private final Duration limit;

  private DoubtfulWrites(
      Table table, TimerService timer, EventLog events, RandomGenerator random, Duration limit) {
    this.table = requireNonNull(table, "table");
    this.timer = requireNonNull(timer, "timer");
    this.events = requireNonNull(events, "events");
    this.random = requireNonNull(random, "random");
    this.limit = requireNonNull(limit, "limit");
  }

  /**
   * Creates a resolver.
   *
   * @param table table that is written to
   * @param timer source of time
   * @param events log that gets each resolved write
   * @param random randomness for the backoff, safe for use by several threads
   * @param limit time after which a write stays in doubt
   * @return resolver
   */
  public static DoubtfulWrites of(
      Table table, TimerService timer, EventLog events, RandomGenerator random, Duration limit) {
    return new DoubtfulWrites(table, timer, events, random, limit);
  }

  /**
   * Writes, and resolves the doubt if the answer is lost.
   *
   * @param write what to write
   * @param recognises whether a row carries the writer's own token, in this or a later version
   * @return result; ambiguous only if the doubt outlasts the limit; never fails
   */
  public CompletableFuture<WriteResult> write(Write write, Predicate<Row> recognises) {
    return table
        .write(write)
        .thenCompose(
            result ->
                result instanceof WriteResult.Ambiguous
                    ? resolve(write, recognises)
                    : CompletableFuture.completedFuture(result));
  }

  /**
   * Finds out whether an earlier write took effect, and lets it take effect if it had not.
   *
   * <p>A removal counts as applied when the row is gone. A conflict with a row that carries another
   * token means that the write took no effect, provided that later versions of a row keep the
   * tokens that are still in doubt.
   *
   * @param write the earlier write
   * @param recognises whether a row carries the writer's own token, in this or a later version
   * @return applied, conflict, or ambiguous if the doubt outlasts the limit; never fails
   */
  public CompletableFuture<WriteResult> resolve(Write write, Predicate<Row> recognises) {
    requireNonNull(write, "write");
    requireNonNull(recognises, "recognises");
    Resolution resolution = new Resolution(write, recognises);
    resolution.readBack();
    return resolution.result;
  }

  private final class Resolution {
    private final Write write;
    private final Predicate<Row> recognises;
    private final CompletableFuture<WriteResult> result = new CompletableFuture<>();
    private final long endNanos = timer.nanoTime() + limit.toNanos();
    private int attempts;

    Resolution(Write write, Predicate<Row> recognises) {
      this.write = write;
      this.recognises = recognises;
    }

    void readBack() {
      if (write instanceof Write.Delete) {
        writeAgain();
        return;
      }
      table.read(write.key()).whenComplete((row, failure) -> onRead(row));
    }

    private void onRead(Optional<Row> row) {
      if (row != null && row.filter(recognises).isPresent()) {
        finish(new WriteResult.Applied(row.get().version()));
      } else {
        writeAgain();
      }
    }

    private void writeAgain() {
      table.write(write).thenAccept(this::onWritten);
    }

    private void onWritten(WriteResult answer) {
      if (answer instanceof WriteResult.Applied) {
        finish(answer);
      } else if (answer instanceof WriteResult.Conflict conflict) {
        finish(meaning(conflict));
      } else {
        tryLater();
      }
    }

    private WriteResult meaning(WriteResult.Conflict conflict) {
      if (write instanceof Write.Delete delete) {
        return conflict.current().isEmpty() ? new WriteResult.Applied(delete.version()) : conflict;
      }
      return conflict
          .current()
          .filter(recognises)
          .<WriteResult>map(row -> new WriteResult.Applied(row.version()))
          .orElse(conflict);
    }

    private void tryLater() {
      long remainingNanos = endNanos - timer.nanoTime();
      if (remainingNanos <= 0) {
        finish(new WriteResult.Ambiguous("not resolved within " + limit));
        return;
      }
      long ceiling = BASE_BACKOFF_MILLIS << Math.min(attempts, MAX_DOUBLINGS);
      long millis = 1 + random.nextLong(Math.min(MAX_BACKOFF_MILLIS, ceiling));
      attempts++;
      Duration delay = Duration.ofMillis(millis);
      timer.after(
          delay.toNanos() < remainingNanos ? delay : Duration.ofNanos(remainingNanos),
          this::readBack);
    }

    private void finish(WriteResult found) {
      String name = found.getClass().getSimpleName();
      events.record(
          EventType.WRITE_RESOLVED, write.key(), Map.of("result", name, "attempts", attempts + 1));
      result.complete(found);
    }
  }
}
