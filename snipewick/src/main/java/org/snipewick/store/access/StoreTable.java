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

/** The instances' own table in the store; results complete on threads of the calls or the timer. */
public final class StoreTable implements Table {
  /** Holds all rows that instances share, in one part, as transactions span no parts. */
  static final String NAME = "snipewick";

  private final StoreCalls calls;
  private final Reads reads;
  private final WriteBatcher writes;

  StoreTable(StoreCalls calls, Reads reads, WriteBatcher writes) {
    this.calls = requireNonNull(calls, "calls");
    this.reads = requireNonNull(reads, "reads");
    this.writes = requireNonNull(writes, "writes");
  }

  private record Rows(StoreCalls calls, RowRange range) implements Reads.Question<RowPage> {

    @Override
    public CompletableFuture<Reply<RowPage>> ask() {
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
        .get(new Rows(calls, RowRange.ofRow(NAME, requireNonNull(key, "key"))))
        .thenApply(
            page ->
                page.rows().stream()
                    .filter(row -> row.key().equals(key))
                    .map(StoreTable::row)
                    .findFirst());
  }

  @Override
  public CompletableFuture<List<Row>> scan(String prefix) {
    return readOn(RowRange.ofPrefix(NAME, requireNonNull(prefix, "prefix")), new ArrayList<>());
  }

  private CompletableFuture<List<Row>> readOn(RowRange range, List<Row> found) {
    return reads
        .get(new Rows(calls, range))
        .thenCompose(
            page -> {
              String last = found.isEmpty() ? "" : found.get(found.size() - 1).key();
              RowPage further = found.isEmpty() ? page : page.withoutRow(last);
              further.rows().forEach(row -> found.add(row(row)));
              return page.isTruncated() && !further.rows().isEmpty()
                  ? readOn(range.withFrom(found.get(found.size() - 1).key()), found)
                  : CompletableFuture.completedFuture(List.copyOf(found));
            });
  }

  @Override
  public CompletableFuture<WriteResult> write(Write write) {
    return writes
        .add(write)
        .whenComplete(
            (result, failure) ->
                reads.separate(read -> read instanceof Rows rows && rows.covers(write.key())));
  }

  /** Returns a row of the store as one of this table. */
  static Row row(TableRow row) {
    return new Row(row.key(), row.version(), new String(row.value(), UTF_8));
  }
}
