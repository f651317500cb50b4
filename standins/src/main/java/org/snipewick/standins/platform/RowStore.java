package org.snipewick.standins.platform;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.snipewick.standins.server.LaggedValue;

/**
 * Rows of all tables with their recent changes, which are dropped after 20 s. Each transaction
 * increments the version of the store. The store can be restored as it was some seconds ago.
 */
final class RowStore {
  private static final long HISTORY_MILLIS = 20_000;

  private final Map<String, TreeMap<RowId, LaggedValue<Optional<Row>>>> tables = new TreeMap<>();
  private final Deque<Change> history = new ArrayDeque<>();
  private long version;
  private long latestDroppedVersion;
  private final LaggedValue<Long> versions = new LaggedValue<>(0L);
  private long era = 1;

  /** Identity of a row in its table, ordered by partition and key. */
  record RowId(String partition, String key) implements Comparable<RowId> {

    @Override
    public int compareTo(RowId other) {
      int byPartition = partition.compareTo(other.partition);
      return byPartition != 0 ? byPartition : key.compareTo(other.key);
    }
  }

  /** A row as it is returned to callers; the value is Base64. */
  record Row(String table, String part, String key, String value, long ver) {

    RowId id() {
      return new RowId(part, key);
    }
  }

  /** Identity of a row and the version that it must have, 0 if it must not exist. */
  record Condition(String table, String partition, String key, long ver) {}

  /** A change that feeds return. */
  private record Change(String table, Map<String, Object> entry, long version, long epochMillis) {}

  long version() {
    return version;
  }

  /** Returns the number of the store's history, which rises with each restore. */
  long era() {
    return era;
  }

  /** Returns to the state at an earlier time; versions after it are assigned again. */
  void restore(long epochMillis, long nowEpochMillis) {
    era++;
    version = versions.at(epochMillis);
    versions.set(nowEpochMillis, version);
    tables
        .values()
        .forEach(
            rows -> rows.values().forEach(row -> row.set(nowEpochMillis, row.at(epochMillis))));
    while (!history.isEmpty() && history.getLast().version() > version) {
      history.removeLast();
    }
    latestDroppedVersion = Math.min(latestDroppedVersion, version);
  }

  /** Returns a row as it was at a time, or empty if it did not exist. */
  Optional<Row> read(String table, RowId id, long epochMillis) {
    return Optional.ofNullable(table(table).get(id)).flatMap(row -> row.at(epochMillis));
  }

  /** Returns the rows of a partition with keys in [from, to) as they were at a time, by key. */
  List<Row> readRange(
      String table, String partition, String from, Optional<String> to, long epochMillis) {
    return table(table).tailMap(new RowId(partition, from), true).entrySet().stream()
        .takeWhile(entry -> entry.getKey().partition().equals(partition))
        .takeWhile(entry -> to.filter(end -> entry.getKey().key().compareTo(end) >= 0).isEmpty())
        .flatMap(entry -> entry.getValue().at(epochMillis).stream())
        .toList();
  }

  /** Returns the number of current rows in all tables other than those named. */
  long countRowsExcept(List<String> excluded) {
    return tables.entrySet().stream()
        .filter(table -> !excluded.contains(table.getKey()))
        .flatMap(table -> table.getValue().values().stream())
        .filter(row -> row.get().isPresent())
        .count();
  }

  /** Returns whether all conditions are met. */
  boolean areMet(List<Condition> conditions) {
    return conditions.stream()
        .allMatch(condition -> current(condition).map(Row::ver).orElse(0L) == condition.ver());
  }

  /** Returns the current row that a condition names, or empty if it does not exist. */
  Optional<Row> current(Condition condition) {
    return read(
        condition.table(), new RowId(condition.partition(), condition.key()), Long.MAX_VALUE);
  }

  /** Applies a transaction and returns its version. */
  long commit(List<Row> writes, List<Condition> removals, long nowEpochMillis) {
    version++;
    versions.set(nowEpochMillis, version);
    for (Row write : writes) {
      Row row = new Row(write.table(), write.part(), write.key(), write.value(), version);
      set(row.table(), row.id(), Optional.of(row), nowEpochMillis);
      appendChange(row.table(), Map.of("value", row.value()), row.id(), nowEpochMillis);
    }
    for (Condition removal : removals) {
      RowId id = new RowId(removal.partition(), removal.key());
      if (read(removal.table(), id, Long.MAX_VALUE).isPresent()) {
        set(removal.table(), id, Optional.empty(), nowEpochMillis);
        appendChange(removal.table(), Map.of("removed", true), id, nowEpochMillis);
      }
    }
    dropHistoryBefore(nowEpochMillis - HISTORY_MILLIS);
    return version;
  }

  /**
   * Returns the changes of a table after a version, or empty if they are no longer kept or the
   * store does not have the version.
   */
  Optional<List<Map<String, Object>>> changes(String table, long after) {
    if (after < latestDroppedVersion || after > version) {
      return Optional.empty();
    }
    return Optional.of(
        history.stream()
            .filter(change -> change.version() > after && change.table().equals(table))
            .map(Change::entry)
            .toList());
  }

  private void dropHistoryBefore(long epochMillis) {
    while (!history.isEmpty() && history.getFirst().epochMillis() < epochMillis) {
      latestDroppedVersion = history.removeFirst().version();
    }
  }

  private void appendChange(
      String table, Map<String, Object> content, RowId id, long nowEpochMillis) {
    Map<String, Object> entry = new LinkedHashMap<>(content);
    entry.put("table", table);
    entry.put("part", id.partition());
    entry.put("key", id.key());
    entry.put("ver", version);
    history.addLast(new Change(table, entry, version, nowEpochMillis));
  }

  private void set(String table, RowId id, Optional<Row> row, long nowEpochMillis) {
    table(table)
        .computeIfAbsent(id, key -> new LaggedValue<>(Optional.empty()))
        .set(nowEpochMillis, row);
  }

  private TreeMap<RowId, LaggedValue<Optional<Row>>> table(String name) {
    return tables.computeIfAbsent(name, key -> new TreeMap<>());
  }

  /** Returns the current rows of a table. */
  List<Row> currentRows(String table) {
    List<Row> rows = new ArrayList<>();
    table(table).values().forEach(row -> row.get().ifPresent(rows::add));
    return rows;
  }
}
