package org.snipewick.catalogue;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.random.RandomGenerator;
import org.snipewick.event.EventLog;
import org.snipewick.event.EventType;
import org.snipewick.failure.Failure;
import org.snipewick.failure.FailureType;
import org.snipewick.store.Row;
import org.snipewick.store.Table;
import org.snipewick.store.Write;
import org.snipewick.store.WriteResult;
import org.snipewick.time.TimerService;

/**
 * Changes in the platform's table, one row a version. Inserting the row of the next version if it
 * is absent accepts a change; no row is ever replaced, so that an insertion may be repeated until
 * its result is known.
 */
final class ChangeTable {
  private static final String KEY_FORMAT = "catalogue/change/%012d";
  private static final Duration RESOLVE_TIMEOUT = Duration.ofSeconds(5);
  private static final Duration FIRST_DELAY = Duration.ofMillis(100);
  private static final Duration RETRY_AFTER = Duration.ofSeconds(2);

  private final Table table;
  private final TimerService timer;
  private final EventLog log;
  private final RandomGenerator random;

  ChangeTable(Table table, TimerService timer, EventLog log, RandomGenerator random) {
    this.table = requireNonNull(table, "table");
    this.timer = requireNonNull(timer, "timer");
    this.log = requireNonNull(log, "log");
    this.random = requireNonNull(random, "random");
  }

  static String key(long version) {
    return String.format(java.util.Locale.ROOT, KEY_FORMAT, version);
  }

  /** Reads the change that made a version; the answer may be old, but never wrong if present. */
  CompletableFuture<Optional<Change>> read(long version) {
    return table.read(key(version)).thenApply(row -> row.flatMap(this::parse));
  }

  /**
   * Accepts a change, if no other has made its version.
   *
   * @return the change that made the version, the given one or another; fails with {@link
   *     FailureType#PLATFORM_UNAVAILABLE} if it was not accepted and {@link
   *     FailureType#OUTCOME_UNKNOWN} if it may have been or may still be
   */
  CompletableFuture<Change> insert(Proposal proposal) {
    CompletableFuture<Change> result = new CompletableFuture<>();
    new Insertion(proposal, result, timer.nanoTime() + RESOLVE_TIMEOUT.toNanos())
        .attempt(FIRST_DELAY);
    return result;
  }

  private Optional<Change> parse(Row row) {
    Optional<Change> change = CatalogueJson.readChange(row.value());
    if (change.isEmpty()) {
      log.record(EventType.INTERNAL_ERROR, row.key(), Map.of("detail", "row is not a change"));
    }
    return change;
  }

  /** One insertion with its repetitions. */
  private final class Insertion {
    private final Proposal proposal;
    private final CompletableFuture<Change> result;
    private final long deadlineNanos;
    private final Write write;
    private boolean doubtful;

    Insertion(Proposal proposal, CompletableFuture<Change> result, long deadlineNanos) {
      this.proposal = proposal;
      this.result = result;
      this.deadlineNanos = deadlineNanos;
      this.write =
          Write.insert(key(proposal.version()), CatalogueJson.writeChange(proposal.change()));
    }

    void attempt(Duration nextDelay) {
      table
          .write(write)
          .whenComplete(
              (answer, failure) -> timer.after(Duration.ZERO, () -> review(answer, nextDelay)));
    }

    private void review(WriteResult answer, Duration nextDelay) {
      if (answer instanceof WriteResult.Applied) {
        resolve(proposal.change());
      } else if (answer instanceof WriteResult.Conflict conflict
          && conflict.current().flatMap(ChangeTable.this::parse).isPresent()) {
        resolve(conflict.current().flatMap(ChangeTable.this::parse).orElseThrow());
      } else if (answer instanceof WriteResult.Rejected rejected && !doubtful) {
        result.completeExceptionally(unavailable(rejected.detail()).toException());
      } else {
        doubtful = true;
        repeat(nextDelay);
      }
    }

    private void resolve(Change accepted) {
      if (doubtful) {
        log.record(EventType.WRITE_RESOLVED, write.key(), Map.of("change", accepted.changeId()));
      }
      result.complete(accepted);
    }

    private void repeat(Duration delay) {
      if (timer.nanoTime() + delay.toNanos() - deadlineNanos > 0) {
        String detail =
            "change " + proposal.change().changeId() + " may have been accepted; ask for it later";
        result.completeExceptionally(
            Failure.unknown(FailureType.OUTCOME_UNKNOWN, detail)
                .withRetryAfter(RETRY_AFTER)
                .toException());
        return;
      }
      double jitter = 0.5 + random.nextDouble() / 2;
      Duration jittered = Duration.ofNanos((long) (delay.toNanos() * jitter));
      timer.after(jittered, () -> attempt(delay.multipliedBy(2)));
    }

    private Failure unavailable(String detail) {
      return Failure.notRun(FailureType.PLATFORM_UNAVAILABLE, detail).withRetryAfter(RETRY_AFTER);
    }
  }
}
