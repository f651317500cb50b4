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

/** Rows of all tables with their recent history; each transaction takes the next version. */
final class RowStore {
  private static final long HISTORY_MILLIS = 20_000;

  private final Map<String, TreeMap<Place, LaggedValue<Optional<Row>>>> tables = new TreeMap<>();
  private final Deque<Change> history = new ArrayDeque<>();
  private long version;
  private long forgottenVersion;

  /** Place of a row in its table. */
  record Place(String part, String key) implements Comparable<Place> {

    @Override
    public int compareTo(Place other) {
      int byPart = part.compareTo(other.part);
      return byPart != 0 ? byPart : key.compareTo(other.key);
    }
  }

  /** A row as it is told; the value is Base64. */
  record Row(String table, String part, String key, String value, long ver) {

    Place place() {
      return new Place(part, key);
    }
  }

  /** Name of a row with the version that it must have, 0 if it must not exist. */
  record Condition(String table, String part, String key, long ver) {}

  /** A change that a feed tells. */
  private record Change(String table, Map<String, Object> told, long version, long millis) {}

  long version() {
    return version;
  }

  /** Returns a row as it was at a time. */
  Optional<Row> read(String table, Place place, long timeMillis) {
    return Optional.ofNullable(table(table).get(place)).flatMap(row -> row.at(timeMillis));
  }

  /** Returns the rows of a part from a key on, as they were at a time, in order of their keys. */
  List<Row> rows(String table, String part, String from, Optional<String> to, long timeMillis) {
    return table(table).tailMap(new Place(part, from), true).entrySet().stream()
        .takeWhile(entry -> entry.getKey().part().equals(part))
        .takeWhile(entry -> to.filter(end -> entry.getKey().key().compareTo(end) >= 0).isEmpty())
        .flatMap(entry -> entry.getValue().at(timeMillis).stream())
        .toList();
  }

  /** Returns how many rows the tables other than those named hold. */
  long countExcept(List<String> others) {
    return tables.entrySet().stream()
        .filter(table -> !others.contains(table.getKey()))
        .flatMap(table -> table.getValue().values().stream())
        .filter(row -> row.get().isPresent())
        .count();
  }

  /** Tells whether all conditions hold. */
  boolean hold(List<Condition> conditions) {
    return conditions.stream()
        .allMatch(condition -> current(condition).map(Row::ver).orElse(0L) == condition.ver());
  }

  /** Returns the row that a condition names, as it stands. */
  Optional<Row> current(Condition condition) {
    return read(condition.table(), new Place(condition.part(), condition.key()), Long.MAX_VALUE);
  }

  /** Makes a transaction and returns its version. */
  long commit(List<Row> writes, List<Condition> removals, long nowMillis) {
    version++;
    for (Row write : writes) {
      Row row = new Row(write.table(), write.part(), write.key(), write.value(), version);
      set(row.table(), row.place(), Optional.of(row), nowMillis);
      tell(row.table(), Map.of("value", row.value()), row.place(), nowMillis);
    }
    for (Condition removal : removals) {
      Place place = new Place(removal.part(), removal.key());
      if (read(removal.table(), place, Long.MAX_VALUE).isPresent()) {
        set(removal.table(), place, Optional.empty(), nowMillis);
        tell(removal.table(), Map.of("removed", true), place, nowMillis);
      }
    }
    forgetBefore(nowMillis - HISTORY_MILLIS);
    return version;
  }

  /** Returns the changes of a table after a version; empty if they are no longer known. */
  Optional<List<Map<String, Object>>> changes(String table, long after) {
    if (after < forgottenVersion) {
      return Optional.empty();
    }
    return Optional.of(
        history.stream()
            .filter(change -> change.version() > after && change.table().equals(table))
            .map(Change::told)
            .toList());
  }

  private void forgetBefore(long millis) {
    while (!history.isEmpty() && history.getFirst().millis() < millis) {
      forgottenVersion = history.removeFirst().version();
    }
  }

  private void tell(String table, Map<String, Object> content, Place place, long nowMillis) {
    Map<String, Object> told = new LinkedHashMap<>(content);
    told.put("table", table);
    told.put("part", place.part());
    told.put("key", place.key());
    told.put("ver", version);
    history.addLast(new Change(table, told, version, nowMillis));
  }

  private void set(String table, Place place, Optional<Row> row, long nowMillis) {
    table(table)
        .computeIfAbsent(place, key -> new LaggedValue<>(Optional.empty()))
        .set(nowMillis, row);
  }

  private TreeMap<Place, LaggedValue<Optional<Row>>> table(String name) {
    return tables.computeIfAbsent(name, key -> new TreeMap<>());
  }

  /** Returns the rows of a table as they stand. */
  List<Row> all(String table) {
    List<Row> rows = new ArrayList<>();
    table(table).values().forEach(row -> row.get().ifPresent(rows::add));
    return rows;
  }
}
