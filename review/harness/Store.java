import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Stand-in for the platform's store: rows-get, rows-feed and rows-tx on rows with an empty part. */
final class Store {
  private static final Pattern ROW =
      Pattern.compile(
          "\\{\"table\":\"([^\"]*)\",\"part\":\"\",\"key\":\"([^\"]*)\",\"value\":\"([^\"]*)\"\\}");

  private record Row(String value, long version, boolean isRemoved) {}

  private final HttpServer server;
  private final Map<String, TreeMap<String, Row>> tables = new HashMap<>();
  private final long startNanos = System.nanoTime();
  private long version = 1;

  Store() throws IOException {
    server =
        HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 256);
    server.setExecutor(
        Executors.newCachedThreadPool(
            task -> {
              Thread thread = new Thread(task, "store");
              thread.setDaemon(true);
              return thread;
            }));
    server.createContext("/rows-get", exchange -> respond(exchange, get(query(exchange))));
    server.createContext("/rows-feed", exchange -> respond(exchange, feed(query(exchange))));
    server.createContext("/rows-tx", this::transact);
    server.start();
  }

  int port() {
    return server.getAddress().getPort();
  }

  void stop() {
    server.stop(0);
  }

  synchronized void put(String table, String key, String value) {
    putEncoded(
        table, key, Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8)));
  }

  synchronized void remove(String table, String key) {
    version++;
    tables
        .computeIfAbsent(table, name -> new TreeMap<>())
        .put(key, new Row("", version, true));
    notifyAll();
  }

  private synchronized long putEncoded(String table, String key, String value) {
    version++;
    tables
        .computeIfAbsent(table, name -> new TreeMap<>())
        .put(key, new Row(value, version, false));
    notifyAll();
    return version;
  }

  private synchronized String get(Map<String, String> query) {
    List<String> rows = new ArrayList<>();
    String from = query.getOrDefault("from", "");
    tables
        .getOrDefault(query.get("table"), new TreeMap<>())
        .tailMap(from)
        .forEach(
            (key, row) -> {
              if (!row.isRemoved()) {
                rows.add(json(query.get("table"), key, row));
              }
            });
    return body(rows, "\"truncated\":false,");
  }

  private synchronized String feed(Map<String, String> query) {
    long after = Long.parseLong(query.get("after"));
    long endNanos =
        System.nanoTime() + Long.parseLong(query.getOrDefault("wait_ms", "0")) * 1_000_000L;
    while (true) {
      List<String> rows = new ArrayList<>();
      tables
          .getOrDefault(query.get("table"), new TreeMap<>())
          .forEach(
              (key, row) -> {
                if (row.version() > after) {
                  rows.add(json(query.get("table"), key, row));
                }
              });
      long leftMillis = (endNanos - System.nanoTime()) / 1_000_000L;
      if (!rows.isEmpty() || leftMillis <= 0) {
        return body(rows, "");
      }
      try {
        wait(leftMillis);
      } catch (InterruptedException interrupted) {
        return body(rows, "");
      }
    }
  }

  private void transact(HttpExchange exchange) throws IOException {
    String request = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
    long committed = version;
    Matcher row = ROW.matcher(request);
    while (row.find()) {
      committed = putEncoded(row.group(1), row.group(2), row.group(3));
    }
    respond(exchange, "{\"ver\":" + committed + ",\"now_ms\":" + nowMillis() + "}");
  }

  private String body(List<String> rows, String more) {
    return "{\"rows\":["
        + String.join(",", rows)
        + "],"
        + more
        + "\"ver\":"
        + version
        + ",\"now_ms\":"
        + nowMillis()
        + "}";
  }

  private static String json(String table, String key, Row row) {
    return "{\"table\":\""
        + table
        + "\",\"part\":\"\",\"key\":\""
        + key
        + "\",\"ver\":"
        + row.version()
        + (row.isRemoved() ? ",\"removed\":true}" : ",\"value\":\"" + row.value() + "\"}");
  }

  private long nowMillis() {
    return (System.nanoTime() - startNanos) / 1_000_000L;
  }

  private static Map<String, String> query(HttpExchange exchange) {
    Map<String, String> query = new HashMap<>();
    String raw = exchange.getRequestURI().getRawQuery();
    for (String each : raw == null ? new String[0] : raw.split("&")) {
      String[] pair = each.split("=", 2);
      query.put(pair[0], URLDecoder.decode(pair.length < 2 ? "" : pair[1], StandardCharsets.UTF_8));
    }
    return query;
  }

  private static void respond(HttpExchange exchange, String body) throws IOException {
    byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
    exchange.getResponseHeaders().set("Content-Type", "application/json");
    exchange.sendResponseHeaders(200, bytes.length);
    exchange.getResponseBody().write(bytes);
    exchange.close();
  }
}
