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
 * Resolver of ambiguous writes, which finds out whether a write whose response was lost took
 * effect.
 *
 * <p>A row that is inserted or replaced carries a token by which the writer recognizes its own
 * write. A read that returns the token proves that the write took effect. A read without the token
 * proves nothing: the read may be stale, and the write may still be in transit. In that case the
 * same conditional write is sent again. Its condition lets at most one of the two take effect, and
 * a conflict returns the current row. Safe for use by several threads.
 */
public final class AmbiguousWriteResolver {
  private static final long BASE_BACKOFF_MILLIS = 20;
  private static final long MAX_BACKOFF_MILLIS = 500;
  private static final int MAX_DOUBLINGS = 10;

  private final Table table;
  private final TimerService timer;
  private final EventLog events;
  private final RandomGenerator random;
  private final Duration limit;

  private AmbiguousWriteResolver(
      Table table, TimerService timer, EventLog events, RandomGenerator random, Duration limit) {
    this.table = requireNonNull(table, "table");
    this.timer = requireNonNull(timer, "timer");
    this.events = requireNonNull(events, "events");
    this.random = requireNonNull(random, "random");
    this.limit = requireNonNull(limit, "limit");
  }

  /**
   * Returns a resolver for the writes to a table.
   *
   * @param table table that is written to
   * @param timer clock of the time limit and timer of the backoff
   * @param events log that records the result of each resolution
   * @param random source of the backoff's jitter, safe for use by several threads
   * @param limit time after which resolving stops and the write stays ambiguous
   * @return resolver
   */
  public static AmbiguousWriteResolver of(
      Table table, TimerService timer, EventLog events, RandomGenerator random, Duration limit) {
    return new AmbiguousWriteResolver(table, timer, events, random, limit);
  }

  /**
   * Sends a write, and resolves it if its outcome is unknown.
   *
   * @param write conditional write
   * @param hasToken returns whether a row carries the writer's own token, in the version that it
   *     wrote or a later one
   * @return result; ambiguous only if it could not be resolved within the limit; the future never
   *     completes exceptionally
   */
  public CompletableFuture<WriteResult> write(Write write, Predicate<Row> hasToken) {
    return table
        .write(write)
        .thenCompose(
            result ->
                result instanceof WriteResult.Ambiguous
                    ? resolve(write, hasToken)
                    : CompletableFuture.completedFuture(result));
  }

  /**
   * Finds out whether an earlier write took effect, and sends it again if that is not proven.
   *
   * <p>A deletion counts as applied when the row is gone. A conflict with a row that carries
   * another token means that the write took no effect. This holds only if later versions of a row
   * keep the tokens of writes that are still ambiguous.
   *
   * @param write the earlier write
   * @param hasToken returns whether a row carries the writer's own token, in the version that it
   *     wrote or a later one
   * @return applied, conflict, or ambiguous if it could not be resolved within the limit; the
   *     future never completes exceptionally
   */
  public CompletableFuture<WriteResult> resolve(Write write, Predicate<Row> hasToken) {
    requireNonNull(write, "write");
    requireNonNull(hasToken, "hasToken");
    Resolution resolution = new Resolution(write, hasToken);
    resolution.readBack();
    return resolution.result;
  }

  private final class Resolution {
    private final Write write;
    private final Predicate<Row> hasToken;
    private final CompletableFuture<WriteResult> result = new CompletableFuture<>();
    private final long deadlineNanos = timer.nanoTime() + limit.toNanos();
    private int attempts;

    Resolution(Write write, Predicate<Row> hasToken) {
      this.write = write;
      this.hasToken = hasToken;
    }

    void readBack() {
      if (write instanceof Write.Delete) {
        writeAgain();
        return;
      }
      table.read(write.key()).whenComplete((row, failure) -> onRead(row));
    }

    /** Checks the row that was read back; it is null if the read failed. */
    private void onRead(Optional<Row> row) {
      if (row != null && row.filter(hasToken).isPresent()) {
        finish(new WriteResult.Applied(row.get().version()));
      } else {
        writeAgain();
      }
    }

    private void writeAgain() {
      table.write(write).thenAccept(this::onWrittenAgain);
    }

    /**
     * Handles the result of the repeated write. If it was rejected, the earlier write may still
     * have taken effect, so that a rejection is retried like an ambiguous result.
     */
    private void onWrittenAgain(WriteResult response) {
      if (response instanceof WriteResult.Applied) {
        finish(response);
      } else if (response instanceof WriteResult.Conflict conflict) {
        finish(resolveConflict(conflict));
      } else {
        retryLater();
      }
    }

    private WriteResult resolveConflict(WriteResult.Conflict conflict) {
      if (write instanceof Write.Delete delete) {
        return conflict.current().isEmpty() ? new WriteResult.Applied(delete.version()) : conflict;
      }
      return conflict
          .current()
          .filter(hasToken)
          .<WriteResult>map(row -> new WriteResult.Applied(row.version()))
          .orElse(conflict);
    }

    private void retryLater() {
      long remainingNanos = deadlineNanos - timer.nanoTime();
      if (remainingNanos <= 0) {
        finish(new WriteResult.Ambiguous("not resolved within " + limit));
        return;
      }
      long ceilingMillis = BASE_BACKOFF_MILLIS << Math.min(attempts, MAX_DOUBLINGS);
      long delayMillis = 1 + random.nextLong(Math.min(MAX_BACKOFF_MILLIS, ceilingMillis));
      attempts++;
      Duration delay = Duration.ofMillis(delayMillis);
      timer.after(
          delay.toNanos() < remainingNanos ? delay : Duration.ofNanos(remainingNanos),
          this::readBack);
    }

    private void finish(WriteResult resolved) {
      String name = resolved.getClass().getSimpleName();
      events.record(
          EventType.WRITE_RESOLVED, write.key(), Map.of("result", name, "attempts", attempts + 1));
      result.complete(resolved);
    }
  }
}
