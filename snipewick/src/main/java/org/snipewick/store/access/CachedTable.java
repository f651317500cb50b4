package org.snipewick.store.access;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicReference;
import org.snipewick.store.RowChanges;
import org.snipewick.store.RowPage;
import org.snipewick.store.TableRow;

/**
 * Cached table that is refreshed on each request. The first request reads all rows, later ones only
 * the changes. Safe for use by several threads.
 */
final class CachedTable {
  private final String table;
  private final StoreCalls calls;
  private final ReadCoalescer reads;
  private final AtomicReference<Optional<Snapshot>> latest =
      new AtomicReference<>(Optional.empty());

  CachedTable(String table, StoreCalls calls, ReadCoalescer reads) {
    this.table = requireNonNull(table, "table");
    this.calls = requireNonNull(calls, "calls");
    this.reads = requireNonNull(reads, "reads");
  }

  /** Rows of the table at a version of the store. */
  private record Snapshot(long era, long version, List<TableRow> rows) {

    private Snapshot {
      rows = List.copyOf(rows);
    }

    Snapshot withChanges(RowChanges.Delta changes) {
      if (changes.written().isEmpty() && changes.removedKeys().isEmpty()) {
        return new Snapshot(era, Math.max(version, changes.version()), rows);
      }
      TreeMap<String, TableRow> byKey = new TreeMap<>();
      rows.forEach(row -> byKey.put(row.key(), row));
      changes.removedKeys().forEach(byKey::remove);
      changes.written().forEach(row -> byKey.put(row.key(), row));
      return new Snapshot(era, Math.max(version, changes.version()), List.copyOf(byKey.values()));
    }

    /** Versions of different eras are not comparable; the later era is newer. */
    boolean isNewerThan(Snapshot other) {
      return era == other.era ? version > other.version : era > other.era;
    }
  }

  private record PageQuery(StoreCalls calls, RowRange range)
      implements ReadCoalescer.Query<RowPage> {

    @Override
    public CompletableFuture<StoreResult<RowPage>> send() {
      return calls.rows(range);
    }
  }

  private record ChangesQuery(StoreCalls calls, String table, long version)
      implements ReadCoalescer.Query<RowChanges> {

    @Override
    public CompletableFuture<StoreResult<RowChanges>> send() {
      return calls.changes(table, version, Duration.ZERO);
    }
  }

  /** Returns all current rows; fails if the store cannot be read. */
  CompletableFuture<List<TableRow>> rows() {
    return latest.get().map(this::refresh).orElseGet(this::readAll);
  }

  private CompletableFuture<List<TableRow>> refresh(Snapshot cached) {
    return reads
        .get(new ChangesQuery(calls, table, cached.version()))
        .thenCompose(
            changes ->
                changes instanceof RowChanges.Delta delta && delta.era() == cached.era()
                    ? CompletableFuture.completedFuture(cacheIfNewest(cached.withChanges(delta)))
                    : readAll());
  }

  private CompletableFuture<List<TableRow>> readAll() {
    return readRemaining(RowRange.of(table), new ArrayList<>(), Optional.empty());
  }

  /**
   * Reads all pages. The snapshot has the version of the first one, so that the next request reads
   * any changes made between the pages.
   */
  private CompletableFuture<List<TableRow>> readRemaining(
      RowRange range, List<TableRow> rowsSoFar, Optional<RowPage> first) {
    return reads
        .get(new PageQuery(calls, range))
        .thenCompose(
            page -> {
              RowPage newRows =
                  rowsSoFar.isEmpty()
                      ? page
                      : page.withoutRow(rowsSoFar.get(rowsSoFar.size() - 1).key());
              rowsSoFar.addAll(newRows.rows());
              RowPage start = first.orElse(page);
              if (start.era() != page.era()) {
                return readAll();
              }
              if (page.isTruncated() && !newRows.rows().isEmpty()) {
                String last = rowsSoFar.get(rowsSoFar.size() - 1).key();
                return readRemaining(range.withFrom(last), rowsSoFar, Optional.of(start));
              }
              return CompletableFuture.completedFuture(
                  cacheIfNewest(new Snapshot(start.era(), start.version(), rowsSoFar)));
            });
  }

  /** Caches a snapshot unless a newer one is cached, and returns the rows of the given one. */
  private List<TableRow> cacheIfNewest(Snapshot snapshot) {
    latest.accumulateAndGet(
        Optional.of(snapshot),
        (cached, given) ->
            cached.filter(existing -> existing.isNewerThan(snapshot)).isPresent() ? cached : given);
    return snapshot.rows();
  }
}
