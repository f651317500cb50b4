package org.snipewick.standins.platform;

import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import org.snipewick.standins.server.LaggedValue;

/** Rows of the table with their recent history. */
final class RowStore {
  private final TreeMap<String, LaggedValue<Optional<Row>>> rows = new TreeMap<>();
  private long versions;

  record Row(String key, long version, String value) {}

  record Operation(String op, String key, long version, String value) {}

  record Result(boolean applied, long version, Row current) {}

  Optional<Row> read(String key, long timeMillis) {
    LaggedValue<Optional<Row>> history = rows.get(key);
    return history == null ? Optional.empty() : history.at(timeMillis);
  }

  List<Row> scan(String prefix, long timeMillis) {
    return rows.tailMap(prefix, true).entrySet().stream()
        .takeWhile(entry -> entry.getKey().startsWith(prefix))
        .flatMap(entry -> entry.getValue().at(timeMillis).stream())
        .toList();
  }

  long size() {
    return rows.values().stream().filter(history -> history.get().isPresent()).count();
  }

  Result apply(Operation operation, long nowMillis) {
    LaggedValue<Optional<Row>> history = rows.get(operation.key());
    Row current = history == null ? null : history.get().orElse(null);
    if (!holds(operation, current)) {
      return new Result(false, 0, current);
    }
    versions++;
    boolean delete = operation.op().equals("delete");
    Optional<Row> changed =
        delete
            ? Optional.empty()
            : Optional.of(new Row(operation.key(), versions, operation.value()));
    rows.computeIfAbsent(operation.key(), key -> new LaggedValue<>(Optional.empty()))
        .set(nowMillis, changed);
    return new Result(true, versions, changed.orElse(null));
  }

  private static boolean holds(Operation operation, Row current) {
    return switch (operation.op()) {
      case "insert" -> current == null;
      case "replace", "delete" -> current != null && current.version() == operation.version();
      default -> throw new IllegalArgumentException("Unknown op " + operation.op());
    };
  }
}
