package org.snipewick.standins.platform;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;
import org.snipewick.standins.platform.RowStore.Condition;
import org.snipewick.standins.platform.RowStore.Row;
import org.snipewick.standins.server.Responses;

/** Writes the rows that register endpoints and entry instances in the store. */
final class Registrations {
  /** Name of the table of endpoints. */
  static final String ENDPOINTS = "servers";

  /** Name of the table of entry instances. */
  static final String INSTANCES = "instances";

  /** Names of the tables that hold only registrations. */
  static final List<String> TABLES = List.of(ENDPOINTS, INSTANCES);

  private static final int SLOTS_PER_ENDPOINT = 10;

  private final RowStore rows;

  Registrations(RowStore rows) {
    this.rows = rows;
  }

  /**
   * Replaces all registrations if the content is an array; adds or replaces one if it is an object.
   * Unchanged rows are not written again.
   */
  void update(JsonNode content, long nowEpochMillis) {
    Map<String, Row> toWrite = new TreeMap<>();
    for (JsonNode instance : content.isArray() ? content : List.of(content)) {
      Row row = toRow(instance);
      toWrite.put(row.table() + "/" + row.key(), row);
    }
    List<Condition> removals = new ArrayList<>();
    for (String table : TABLES) {
      for (Row current : rows.currentRows(table)) {
        Row replacement = toWrite.get(table + "/" + current.key());
        if (replacement == null && content.isArray()) {
          removals.add(new Condition(table, "", current.key(), current.ver()));
        } else if (replacement != null && Objects.equals(replacement.value(), current.value())) {
          toWrite.remove(table + "/" + current.key());
        }
      }
    }
    if (!toWrite.isEmpty() || !removals.isEmpty()) {
      rows.commit(List.copyOf(toWrite.values()), removals, nowEpochMillis);
    }
  }

  private static Row toRow(JsonNode instance) {
    boolean isEntry = instance.path("kind").asText().equals("entry");
    String host = instance.path("host").asText();
    int port = instance.path("port").asInt();
    String domain = instance.path("domain").asText();
    Map<String, Object> content =
        new TreeMap<>(
            isEntry
                ? Map.of("domain", domain, "host", host, "port", port)
                : Map.of(
                    "service",
                    instance.path("pool").asText(),
                    "address",
                    host + ":" + port,
                    "zone",
                    domain,
                    "slots",
                    SLOTS_PER_ENDPOINT,
                    "state",
                    instance.path("state").asText().equals("leaving") ? "draining" : "ready",
                    "born",
                    1L));
    if (instance.hasNonNull("version")) {
      content.put("version", instance.path("version").asText());
    }
    String value = Base64.getEncoder().encodeToString(Responses.toJson(content).getBytes(UTF_8));
    return new Row(isEntry ? INSTANCES : ENDPOINTS, "", instance.path("id").asText(), value, 0);
  }
}
