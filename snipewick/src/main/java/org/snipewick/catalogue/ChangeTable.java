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
 * Accepted changes in the platform's table, one row per version. A change is accepted by inserting
 * the row of the next version if there is none. Rows are never replaced, so an insertion may be
 * retried until its result is known.
 */
final class ChangeTable {
  private static final String KEY_FORMAT = "catalogue/change/%012d";

  /** Time after which an insertion is no longer retried; its result is then unknown. */
  private static final Duration INSERTION_TIMEOUT = Duration.ofSeconds(5);

  /**
   * Longest delay before the first retry, doubled for each further one. The actual delay is between
   * 50 and 100 % of it at random.
   */
  private static final Duration INITIAL_RETRY_DELAY = Duration.ofMillis(100);

  /** Time after which a caller is advised to retry a failed request. */
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

  /** Returns the row key of a version; the version is padded with zeros to 12 digits. */
  static String key(long version) {
    return String.format(java.util.Locale.ROOT, KEY_FORMAT, version);
  }

  /**
   * Reads the change that created a version. The result may be stale: it may be empty although the
   * change has been accepted, but a change that is present is the accepted one.
   */
  CompletableFuture<Optional<Change>> read(long version) {
    return table.read(key(version)).thenApply(row -> row.flatMap(this::parse));
  }

  /**
   * Accepts a change, unless another one has created its version.
   *
   * @return the change that created the version, the proposed or another one; fails with {@link
   *     FailureType#PLATFORM_UNAVAILABLE} if the change was not accepted and {@link
   *     FailureType#OUTCOME_UNKNOWN} if it may have been accepted or may still be
   */
  CompletableFuture<Change> insert(Proposal proposal) {
    CompletableFuture<Change> result = new CompletableFuture<>();
    new Insertion(proposal, result, timer.nanoTime() + INSERTION_TIMEOUT.toNanos())
        .attempt(INITIAL_RETRY_DELAY);
    return result;
  }

  private Optional<Change> parse(Row row) {
    Optional<Change> change = CatalogueJson.readChange(row.value());
    if (change.isEmpty()) {
      log.record(EventType.INTERNAL_ERROR, row.key(), Map.of("detail", "row is not a change"));
    }
    return change;
  }

  /** One insertion with its retries, all of them on the timer's thread. */
  private final class Insertion {
    private final Proposal proposal;
    private final CompletableFuture<Change> result;
    private final long deadlineNanos;
    private final Write write;

    /** Whether an earlier attempt may have written the row. */
    private boolean ambiguous;

    Insertion(Proposal proposal, CompletableFuture<Change> result, long deadlineNanos) {
      this.proposal = proposal;
      this.result = result;
      this.deadlineNanos = deadlineNanos;
      this.write =
          Write.insert(key(proposal.version()), CatalogueJson.writeChange(proposal.change()));
    }

    void attempt(Duration retryDelay) {
      table
          .write(write)
          .whenComplete(
              (written, failure) ->
                  timer.after(Duration.ZERO, () -> handleResult(written, retryDelay)));
    }

    private void handleResult(WriteResult written, Duration retryDelay) {
      if (written instanceof WriteResult.Applied) {
        complete(proposal.change());
      } else if (written instanceof WriteResult.Conflict conflict
          && conflict.current().flatMap(ChangeTable.this::parse).isPresent()) {
        complete(conflict.current().flatMap(ChangeTable.this::parse).orElseThrow());
      } else if (written instanceof WriteResult.Rejected rejected && !ambiguous) {
        result.completeExceptionally(unavailable(rejected.detail()).toException());
      } else {
        ambiguous = true;
        scheduleRetry(retryDelay);
      }
    }

    private void complete(Change accepted) {
      if (ambiguous) {
        log.record(EventType.WRITE_RESOLVED, write.key(), Map.of("change", accepted.changeId()));
      }
      result.complete(accepted);
    }

    /** Retries after a delay, or fails if the deadline is before the retry. */
    private void scheduleRetry(Duration delay) {
      if (timer.nanoTime() + delay.toNanos() - deadlineNanos > 0) {
        String detail =
            "change "
                + proposal.change().changeId()
                + " may have been accepted; query its state later";
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
