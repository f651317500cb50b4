import java.io.IOException;
import java.io.OutputStream;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The platform's store: its row calls, without faults. Serves the partition "" only. */
final class Store {
  private final TreeMap<String, Row> rows = new TreeMap<>();
  private final List<Row> history = new ArrayList<>();
  private final Server server;
  private long version;

  private record Row(String table, String key, String value, long version, boolean isRemoved) {
    String encode() {
      return "{\"table\":"
          + Json.quote(table)
          + ",\"part\":\"\",\"key\":"
          + Json.quote(key)
          + (isRemoved ? ",\"removed\":true" : ",\"value\":" + Json.quote(value))
          + ",\"ver\":"
          + version
          + "}";
    }
  }

  Store() throws IOException {
    server = new Server(this::handle);
  }

  int port() {
    return server.port();
  }

  /** Writes a row as the operator or a replica does; the store acknowledges it on return. */
  synchronized void put(String table, String key, String json) {
    version++;
    String value = Base64.getEncoder().encodeToString(json.getBytes(StandardCharsets.UTF_8));
    write(new Row(table, key, value, version, false));
    notifyAll();
  }

  private void write(Row row) {
    history.add(row);
    if (row.isRemoved()) {
      rows.remove(row.table() + "\0" + row.key());
    } else {
      rows.put(row.table() + "\0" + row.key(), row);
    }
  }

  private boolean handle(Message request, OutputStream output) throws IOException {
    String path = request.target().split("\\?")[0];
    Map<String, String> query = query(request.target());
    String[] answer =
        switch (path) {
          case "/rows-tx" -> transact(new String(request.body, StandardCharsets.UTF_8));
          case "/rows-get" -> get(query);
          case "/rows-feed" -> feed(query);
          default -> new String[] {"404", "{}"};
        };
    String fields = "Content-Type: application/json\r\nStore-Era: 1\r\n";
    byte[] body = answer[1].getBytes(StandardCharsets.UTF_8);
    Server.respond(output, Integer.parseInt(answer[0]), fields, body);
    return true;
  }

  private static Map<String, String> query(String target) {
    Map<String, String> values = new HashMap<>();
    if (target.contains("?")) {
      for (String each : target.substring(target.indexOf('?') + 1).split("&")) {
        String[] pair = each.split("=", 2);
        values.put(pair[0], URLDecoder.decode(pair[1], StandardCharsets.UTF_8));
      }
    }
    return values;
  }

  private String end() {
    return "\"ver\":" + version + ",\"now_ms\":" + System.nanoTime() / 1_000_000 + "}";
  }

  private synchronized String[] transact(String body) {
    Map<?, ?> call = (Map<?, ?>) Json.parse(body);
    List<String> current = new ArrayList<>();
    boolean holds = true;
    for (Object each : (List<?>) call.get("expected_rev")) {
      Map<?, ?> condition = (Map<?, ?>) each;
      Row row = rows.get(condition.get("table") + "\0" + condition.get("key"));
      long expected = ((Double) condition.get("ver")).longValue();
      holds &= expected == (row == null ? 0 : row.version());
      if (row != null) {
        current.add(row.encode());
      }
    }
    if (!holds) {
      return new String[] {"412", "{\"rows\":[" + String.join(",", current) + "]," + end()};
    }
    version++;
    for (Object each : (List<?>) call.get("writes")) {
      Map<?, ?> row = (Map<?, ?>) each;
      write(
          new Row(
              (String) row.get("table"),
              (String) row.get("key"),
              (String) row.get("value"),
              version,
              false));
    }
    for (Object each : (List<?>) call.get("remove")) {
      Map<?, ?> row = (Map<?, ?>) each;
      write(new Row((String) row.get("table"), (String) row.get("key"), "", version, true));
    }
    notifyAll();
    return new String[] {"200", "{" + end()};
  }

  private synchronized String[] get(Map<String, String> query) {
    int limit = Integer.parseInt(query.getOrDefault("limit", "500"));
    List<String> found = new ArrayList<>();
    boolean isTruncated = false;
    for (Row row : rows.values()) {
      boolean isWanted =
          row.table().equals(query.get("table"))
              && row.key().compareTo(query.getOrDefault("from", "")) >= 0
              && (!query.containsKey("to") || row.key().compareTo(query.get("to")) < 0);
      if (isWanted && found.size() == limit) {
        isTruncated = true;
      } else if (isWanted) {
        found.add(row.encode());
      }
    }
    String listed = String.join(",", found);
    return new String[] {
      "200", "{\"rows\":[" + listed + "],\"truncated\":" + isTruncated + "," + end()
    };
  }

  private synchronized String[] feed(Map<String, String> query) {
    long after = Long.parseLong(query.get("after"));
    long waitNanos = Long.parseLong(query.getOrDefault("wait_ms", "0")) * 1_000_000;
    long startNanos = System.nanoTime();
    List<String> changes = changes(query.get("table"), after);
    while (changes.isEmpty() && System.nanoTime() - startNanos < waitNanos) {
      long leftMillis = (waitNanos - (System.nanoTime() - startNanos)) / 1_000_000;
      try {
        wait(Math.max(1, leftMillis));
      } catch (InterruptedException interrupted) {
        throw new IllegalStateException(interrupted);
      }
      changes = changes(query.get("table"), after);
    }
    return new String[] {"200", "{\"rows\":[" + String.join(",", changes) + "]," + end()};
  }

  private List<String> changes(String table, long after) {
    return history.stream()
        .filter(row -> row.table().equals(table) && row.version() > after)
        .map(Row::encode)
        .toList();
  }
}
