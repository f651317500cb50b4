package org.snipewick.store.access;

import static java.nio.charset.StandardCharsets.UTF_8;
import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.snipewick.failure.Failure;
import org.snipewick.failure.FailureType;
import org.snipewick.store.ConditionalTableWriter;
import org.snipewick.store.Row;
import org.snipewick.store.RowChanges;
import org.snipewick.store.RowPage;
import org.snipewick.store.TableReader;
import org.snipewick.store.TableWriter;
import org.snipewick.store.Write;
import org.snipewick.store.WriteResult;

/**
 * Table reader and writer with one attempt per call, for callers that retry themselves. Neither
 * rate limits nor the circuit breaker apply.
 */
public final class SingleAttemptStore implements TableReader, TableWriter, ConditionalTableWriter {
  private final StoreCalls calls;

  private SingleAttemptStore(StoreCalls calls) {
    this.calls = requireNonNull(calls, "calls");
  }

  /**
   * Returns a reader and writer of the tables of a store.
   *
   * @param calls calls to the store
   * @return reader and writer with one attempt per call
   */
  public static SingleAttemptStore of(StoreCalls calls) {
    return new SingleAttemptStore(calls);
  }

  @Override
  public CompletableFuture<RowPage> read(String table, Optional<String> after) {
    RowRange range = after.map(RowRange.of(table)::withFrom).orElse(RowRange.of(table));
    return valueOrFailure(calls.rows(range))
        .thenApply(page -> after.map(page::withoutRow).orElse(page));
  }

  @Override
  public CompletableFuture<RowChanges> changes(String table, long version, Duration maxWait) {
    return valueOrFailure(calls.changes(table, version, maxWait));
  }

  @Override
  public CompletableFuture<Long> put(String table, String key, byte[] value) {
    return valueOrFailure(calls.put(table, key, value));
  }

  @Override
  public CompletableFuture<WriteResult> write(String table, Write write) {
    return calls.transact(table, List.of(write)).thenApply(result -> toWriteResult(result, write));
  }

  private static WriteResult toWriteResult(StoreResult<TransactionResult> result, Write write) {
    if (result instanceof StoreResult.Succeeded<TransactionResult> succeeded) {
      if (succeeded.value() instanceof TransactionResult.Conflict conflict) {
        return new WriteResult.Conflict(rowOf(conflict, write.key()), conflict.era());
      }
      TransactionResult.Committed committed = (TransactionResult.Committed) succeeded.value();
      return new WriteResult.Applied(committed.version(), committed.era());
    }
    StoreResult.Failed<TransactionResult> failed = (StoreResult.Failed<TransactionResult>) result;
    return failed.hadNoEffect()
        ? new WriteResult.Rejected(failed.detail())
        : new WriteResult.Ambiguous(failed.detail());
  }

  private static Optional<Row> rowOf(TransactionResult.Conflict conflict, String key) {
    return conflict.current().stream()
        .filter(row -> row.key().equals(key))
        .findFirst()
        .map(row -> new Row(key, row.version(), new String(row.value(), UTF_8)));
  }

  private static <T> CompletableFuture<T> valueOrFailure(CompletableFuture<StoreResult<T>> call) {
    return call.thenApply(
        result -> {
          if (result instanceof StoreResult.Succeeded<T> succeeded) {
            return succeeded.value();
          }
          throw failure((StoreResult.Failed<T>) result).toException();
        });
  }

  private static Failure failure(StoreResult.Failed<?> failed) {
    return failed.hadNoEffect()
        ? Failure.notRun(FailureType.PLATFORM_UNAVAILABLE, failed.detail())
        : Failure.unknown(FailureType.PLATFORM_UNAVAILABLE, failed.detail());
  }
}
