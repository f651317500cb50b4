package org.snipewick.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import org.snipewick.store.RowChanges;
import org.snipewick.store.RowPage;
import org.snipewick.store.TableRow;
import org.snipewick.store.Write;
import org.snipewick.store.access.RowRange;
import org.snipewick.store.access.TransactionResult;

/** Paths and bodies of the store's HTTP calls. The "part" of all rows is the empty string. */
final class StoreFormat {
  static final String TRANSACTION_PATH = "/rows-tx";

  /** Version that a write expects of a row that must not exist. */
  private static final long ABSENT_ROW_VERSION = 0;

  private static final ObjectMapper JSON = new ObjectMapper();

  private StoreFormat() {}

  static String pathOfRows(RowRange range) {
    String from = range.from().isEmpty() ? "" : "&from=" + encode(range.from());
    String to = range.to().map(key -> "&to=" + encode(key)).orElse("");
    return "/rows-get?table="
        + encode(range.table())
        + "&part="
        + from
        + to
        + "&limit="
        + range.limit();
  }

  static String pathOfChanges(String table, long version, long waitMillis) {
    return "/rows-feed?table=" + encode(table) + "&after=" + version + "&wait_ms=" + waitMillis;
  }

  static String pathOfObject(String name) {
    return "/blob-get/" + encode(name);
  }

  static String pathOfObjectWrite(String name) {
    return "/blob-put/" + encode(name);
  }

  static String pathOfObjectNames(String prefix) {
    return "/blob-list?prefix=" + encode(prefix);
  }

  /**
   * Encodes writes that are applied together, and only if each row has the version that is given in
   * "expected_rev".
   */
  static byte[] transaction(String table, List<Write> writes) {
    ObjectNode body = JSON.createObjectNode();
    ArrayNode conditions = body.putArray("expected_rev");
    ArrayNode written = body.putArray("writes");
    ArrayNode removed = body.putArray("remove");
    for (Write write : writes) {
      conditions.add(rowIdentifier(table, write.key()).put("ver", expectedVersion(write)));
      if (write instanceof Write.Insert insert) {
        written.add(row(table, write.key(), bytes(insert.value())));
      } else if (write instanceof Write.Replace replace) {
        written.add(row(table, write.key(), bytes(replace.value())));
      } else {
        removed.add(rowIdentifier(table, write.key()));
      }
    }
    return bytes(body.toString());
  }

  /** Encodes an unconditional write of a row. */
  static byte[] put(String table, String key, byte[] value) {
    ObjectNode body = JSON.createObjectNode();
    body.putArray("expected_rev");
    body.putArray("writes").add(row(table, key, value));
    body.putArray("remove");
    return bytes(body.toString());
  }

  static long version(byte[] body) throws IOException {
    JsonNode version = root(body).path("ver");
    if (!version.isIntegralNumber()) {
      throw new IOException("response of the store has no version");
    }
    return version.longValue();
  }

  static TransactionResult committed(byte[] body, long era) throws IOException {
    return new TransactionResult.Committed(version(body), era);
  }

  /** Decodes the response to a transaction that was refused because a row had another version. */
  static TransactionResult conflict(byte[] body, long era) throws IOException {
    return new TransactionResult.Conflict(rowsOf(root(body)), era);
  }

  static RowPage page(byte[] body, long era) throws IOException {
    JsonNode root = root(body);
    return new RowPage(rowsOf(root), version(body), root.path("truncated").asBoolean(), era);
  }

  /**
   * Decodes changes of the rows whose "part" is empty; the store reports those of all parts. If a
   * row was changed several times, its last change is returned.
   */
  static RowChanges changes(byte[] body, long era) throws IOException {
    List<TableRow> written = new ArrayList<>();
    List<String> removed = new ArrayList<>();
    for (JsonNode change : rowNodes(root(body))) {
      if (!change.path("part").asText().isEmpty()) {
        continue;
      }
      String key = change.path("key").asText();
      written.removeIf(row -> row.key().equals(key));
      removed.remove(key);
      if (change.path("removed").asBoolean()) {
        removed.add(key);
      } else {
        written.add(decodeRow(change));
      }
    }
    return new RowChanges.Delta(written, removed, version(body), era);
  }

  static List<String> objectNames(byte[] body) throws IOException {
    List<String> names = new ArrayList<>();
    for (JsonNode each : root(body).path("names")) {
      names.add(each.asText());
    }
    return names;
  }

  private static long expectedVersion(Write write) {
    if (write instanceof Write.Replace replace) {
      return replace.version();
    }
    return write instanceof Write.Delete delete ? delete.version() : ABSENT_ROW_VERSION;
  }

  private static ObjectNode rowIdentifier(String table, String key) {
    return JSON.createObjectNode().put("table", table).put("part", "").put("key", key);
  }

  private static ObjectNode row(String table, String key, byte[] value) {
    return rowIdentifier(table, key).put("value", Base64.getEncoder().encodeToString(value));
  }

  private static List<TableRow> rowsOf(JsonNode root) throws IOException {
    List<TableRow> rows = new ArrayList<>();
    for (JsonNode each : rowNodes(root)) {
      // The response to a refused transaction may list rows that do not exist, without a value.
      if (each.has("value")) {
        rows.add(decodeRow(each));
      }
    }
    return rows;
  }

  private static JsonNode rowNodes(JsonNode root) throws IOException {
    JsonNode rows = root.path("rows");
    if (!rows.isArray()) {
      throw new IOException("response of the store has no rows");
    }
    for (JsonNode each : rows) {
      if (!each.path("key").isTextual()) {
        throw new IOException("response of the store has a row without a key");
      }
    }
    return rows;
  }

  private static TableRow decodeRow(JsonNode node) {
    byte[] value;
    try {
      value = Base64.getDecoder().decode(node.path("value").asText());
    } catch (IllegalArgumentException malformed) {
      // The decoder of the row's value rejects an empty value and reports the key of the row.
      value = new byte[0];
    }
    return new TableRow(
        node.path("part").asText(), node.path("key").asText(), value, node.path("ver").asLong());
  }

  private static JsonNode root(byte[] body) throws IOException {
    JsonNode root = JSON.readTree(body);
    if (root == null || !root.isObject()) {
      throw new IOException("response of the store is not an object");
    }
    return root;
  }

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }

  private static String encode(String text) {
    return URLEncoder.encode(text, StandardCharsets.UTF_8).replace("+", "%20");
  }
}
