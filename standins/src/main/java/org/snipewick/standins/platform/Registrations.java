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

/** Entries by which endpoints and entry instances are registered in the store. */
final class Registrations {
  /** Table of the endpoints. */
  static final String ENDPOINTS = "servers";

  /** Table of the entry instances. */
  static final String INSTANCES = "instances";

  /** Tables that hold registrations alone. */
  static final List<String> TABLES = List.of(ENDPOINTS, INSTANCES);

  private static final int SLOTS = 10;

  private final RowStore rows;

  Registrations(RowStore rows) {
    this.rows = rows;
  }

  /** Replaces all entries by an array, or adds or replaces one. */
  void change(JsonNode content, long nowMillis) {
    Map<String, Row> wanted = new TreeMap<>();
    for (JsonNode instance : content.isArray() ? content : List.of(content)) {
      Row row = row(instance);
      wanted.put(row.table() + "/" + row.key(), row);
    }
    List<Condition> removals = new ArrayList<>();
    for (String table : TABLES) {
      for (Row present : rows.all(table)) {
        Row changed = wanted.get(table + "/" + present.key());
        if (changed == null && content.isArray()) {
          removals.add(new Condition(table, "", present.key(), present.ver()));
        } else if (changed != null && Objects.equals(changed.value(), present.value())) {
          wanted.remove(table + "/" + present.key());
        }
      }
    }
    if (!wanted.isEmpty() || !removals.isEmpty()) {
      rows.commit(List.copyOf(wanted.values()), removals, nowMillis);
    }
  }

  private static Row row(JsonNode instance) {
    boolean isEntry = instance.path("kind").asText().equals("entry");
    String host = instance.path("host").asText();
    int port = instance.path("port").asInt();
    String domain = instance.path("domain").asText();
    Map<String, Object> entry =
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
                SLOTS,
                "state",
                instance.path("state").asText().equals("leaving") ? "draining" : "ready",
                "born",
                1L);
    String value = Base64.getEncoder().encodeToString(Responses.toJson(entry).getBytes(UTF_8));
    return new Row(isEntry ? INSTANCES : ENDPOINTS, "", instance.path("id").asText(), value, 0);
  }
}
