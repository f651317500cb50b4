package org.snipewick.bench.cluster;

import java.util.LinkedHashMap;
import java.util.Map;

/** Rows of the list of instances that the platform's stand-in serves. */
final class InstanceRows {
  private final Map<String, String> rows = new LinkedHashMap<>();

  /**
   * Adds or replaces the row of an instance or endpoint.
   *
   * @param id name
   * @param kind entry, engine or service
   * @param domain failure domain
   * @param port port
   * @param pool model or service
   * @param state live or leaving
   */
  void put(String id, String kind, String domain, int port, String pool, String state) {
    rows.remove(id);
    rows.put(
        id,
        ("{\"id\":\"%s\",\"kind\":\"%s\",\"domain\":\"%s\",\"host\":\"127.0.0.1\","
                + "\"port\":%d,\"pool\":\"%s\",\"state\":\"%s\"}")
            .formatted(id, kind, domain, port, pool, state));
  }

  /**
   * Returns the whole list.
   *
   * @return JSON
   */
  String toJson() {
    return "[" + String.join(",", rows.values()) + "]";
  }
}
