package org.snipewick.store.access;

import static java.nio.charset.StandardCharsets.UTF_8;
import static java.util.Objects.requireNonNull;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.snipewick.store.Row;
import org.snipewick.store.RowPage;
import org.snipewick.store.Table;
import org.snipewick.store.TableRow;
import org.snipewick.store.Write;
import org.snipewick.store.WriteResult;

/**
 * The platform's table that all instances share. Futures complete on the thread of the calls or of
 * the timer.
 */
public final class StoreTable implements Table {
  /** Name of the table. All rows are in one partition, as transactions cannot span partitions. */
  static final String NAME = "snipewick";

  private final StoreCalls calls;
  private final ReadCoalescer reads;
  private final WriteBatcher writes;

  StoreTable(StoreCalls calls, ReadCoalescer reads, WriteBatcher writes) {
    this.calls = requireNonNull(calls, "calls");
    this.reads = requireNonNull(reads, "reads");
    this.writes = requireNonNull(writes, "writes");
  }

  private record RowsQuery(StoreCalls calls, RowRange range)
      implements ReadCoalescer.Query<RowPage> {

    @Override
    public CompletableFuture<StoreResult<RowPage>> send() {
      return calls.rows(range);
    }

    boolean covers(String key) {
      return range.from().compareTo(key) <= 0
          && range.to().filter(end -> key.compareTo(end) >= 0).isEmpty();
    }
  }

  @Override
  public CompletableFuture<Optional<Row>> read(String key) {
    return reads
        .get(new RowsQuery(calls, RowRange.ofRow(NAME, requireNonNull(key, "key"))))
        .thenApply(
            page ->
                page.rows().stream()
                    .filter(row -> row.key().equals(key))
                    .map(StoreTable::row)
                    .findFirst());
  }

  @Override
  public CompletableFuture<List<Row>> scan(String prefix) {
    return readRemaining(
        RowRange.ofPrefix(NAME, requireNonNull(prefix, "prefix")), new ArrayList<>());
  }

  private CompletableFuture<List<Row>> readRemaining(RowRange range, List<Row> rowsSoFar) {
    return reads
        .get(new RowsQuery(calls, range))
        .thenCompose(
            page -> {
              String lastKey = rowsSoFar.isEmpty() ? "" : rowsSoFar.get(rowsSoFar.size() - 1).key();
              RowPage newRows = rowsSoFar.isEmpty() ? page : page.withoutRow(lastKey);
              newRows.rows().forEach(row -> rowsSoFar.add(row(row)));
              return page.isTruncated() && !newRows.rows().isEmpty()
                  ? readRemaining(
                      range.withFrom(rowsSoFar.get(rowsSoFar.size() - 1).key()), rowsSoFar)
                  : CompletableFuture.completedFuture(List.copyOf(rowsSoFar));
            });
  }

  @Override
  public CompletableFuture<WriteResult> write(Write write) {
    return writes
        .add(write)
        .whenComplete(
            (result, failure) ->
                reads.stopSharing(
                    read -> read instanceof RowsQuery rows && rows.covers(write.key())));
  }

  /** Converts a row of the store, whose content is UTF-8, to one of this table. */
  static Row row(TableRow row) {
    return new Row(row.key(), row.version(), new String(row.value(), UTF_8));
  }
}
