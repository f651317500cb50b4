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
 * Copy of a table that is brought up to date when it is asked for. After the first time only what
 * has changed is read.
 */
final class ReplicatedTable {
  private final String table;
  private final StoreCalls calls;
  private final Reads reads;
  private final AtomicReference<Optional<Copy>> copy = new AtomicReference<>(Optional.empty());

  ReplicatedTable(String table, StoreCalls calls, Reads reads) {
    this.table = requireNonNull(table, "table");
    this.calls = requireNonNull(calls, "calls");
    this.reads = requireNonNull(reads, "reads");
  }

  /** Rows of the table at a version of the store. */
  private record Copy(long version, List<TableRow> rows) {

    private Copy {
      rows = List.copyOf(rows);
    }

    Copy with(RowChanges.Told changes) {
      if (changes.written().isEmpty() && changes.removedKeys().isEmpty()) {
        return new Copy(Math.max(version, changes.version()), rows);
      }
      TreeMap<String, TableRow> byKey = new TreeMap<>();
      rows.forEach(row -> byKey.put(row.key(), row));
      changes.removedKeys().forEach(byKey::remove);
      changes.written().forEach(row -> byKey.put(row.key(), row));
      return new Copy(Math.max(version, changes.version()), List.copyOf(byKey.values()));
    }
  }

  private record Pages(StoreCalls calls, RowRange range) implements Reads.Question<RowPage> {

    @Override
    public CompletableFuture<Reply<RowPage>> ask() {
      return calls.rows(range);
    }
  }

  private record Changes(StoreCalls calls, String table, long version)
      implements Reads.Question<RowChanges> {

    @Override
    public CompletableFuture<Reply<RowChanges>> ask() {
      return calls.changes(table, version, Duration.ZERO);
    }
  }

  /** Returns all rows as they now are; fails if the store cannot be read. */
  CompletableFuture<List<TableRow>> rows() {
    return copy.get().map(this::update).orElseGet(this::readAll);
  }

  private CompletableFuture<List<TableRow>> update(Copy known) {
    return reads
        .get(new Changes(calls, table, known.version()))
        .thenCompose(
            changes ->
                changes instanceof RowChanges.Told told
                    ? CompletableFuture.completedFuture(keep(known.with(told)))
                    : readAll());
  }

  private CompletableFuture<List<TableRow>> readAll() {
    return readOn(RowRange.of(table), new ArrayList<>(), Optional.empty());
  }

  /** The copy takes the version of the first page, so that later changes are told again. */
  private CompletableFuture<List<TableRow>> readOn(
      RowRange range, List<TableRow> found, Optional<Long> firstVersion) {
    return reads
        .get(new Pages(calls, range))
        .thenCompose(
            page -> {
              RowPage further =
                  found.isEmpty() ? page : page.withoutRow(found.get(found.size() - 1).key());
              found.addAll(further.rows());
              long version = firstVersion.orElse(page.version());
              if (page.isTruncated() && !further.rows().isEmpty()) {
                String last = found.get(found.size() - 1).key();
                return readOn(range.withFrom(last), found, Optional.of(version));
              }
              return CompletableFuture.completedFuture(keep(new Copy(version, found)));
            });
  }

  /** Keeps a copy unless a newer one is known. */
  private List<TableRow> keep(Copy read) {
    copy.accumulateAndGet(
        Optional.of(read),
        (present, given) ->
            present.filter(kept -> kept.version() > read.version()).isPresent() ? present : given);
    return read.rows();
  }
}
