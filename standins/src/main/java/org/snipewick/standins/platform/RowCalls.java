package org.snipewick.standins.platform;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import io.activej.eventloop.Eventloop;
import io.activej.http.HttpMethod;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import io.activej.promise.Promises;
import io.activej.promise.SettablePromise;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import org.snipewick.standins.platform.RowStore.Condition;
import org.snipewick.standins.platform.RowStore.Row;
import org.snipewick.standins.server.Call;
import org.snipewick.standins.server.Faults;
import org.snipewick.standins.server.Responses;

/** Serves the calls of the store on rows: transactions, reads and feeds. */
final class RowCalls {
  private static final int MAX_TRANSACTION_ENTRIES = 100;
  private static final int MAX_BODY_BYTES = 1_000_000;
  private static final int MAX_NAME_BYTES = 200;

  /** Upper bound of the length of 64 KiB in Base64. */
  private static final int MAX_VALUE_CHARACTERS = 65_536 * 4 / 3 + 4;

  private static final int MAX_ROWS_PER_READ = 500;

  /** Time for which a transaction occupies each of its partitions. */
  private static final long TRANSACTION_MILLIS = 5;

  /** Transactions that would wait longer for a partition are rejected. */
  private static final long MAX_QUEUE_MILLIS = 1_000;

  private static final long MAX_FEED_WAIT_MILLIS = 30_000;

  private final Eventloop eventloop;
  private final Supplier<Faults> faults;
  private final RowStore rows;
  private final Map<String, Long> busyUntilEpochMillisByPartition = new HashMap<>();
  private final Set<WaitingFeed> waitingFeeds = new LinkedHashSet<>();

  RowCalls(Eventloop eventloop, Supplier<Faults> faults, RowStore rows) {
    this.eventloop = eventloop;
    this.faults = faults;
    this.rows = rows;
  }

  /** A feed call whose response waits for the first change of a table after a version. */
  private record WaitingFeed(String table, long after, SettablePromise<HttpResponse> response) {}

  /** Returns the response to a call on rows, or empty for other calls. */
  Optional<Promise<HttpResponse>> serve(Call call) throws JsonProcessingException {
    if (call.method() == HttpMethod.POST) {
      return call.path().equals("/rows-tx") ? Optional.of(runTransaction(call)) : Optional.empty();
    }
    return switch (call.path()) {
      case "/rows-get" -> Optional.of(Promise.of(read(call)));
      case "/rows-feed" -> Optional.of(feed(call));
      case "/rows-parts" -> Optional.of(Promise.of(listPartitions(call)));
      default -> Optional.empty();
    };
  }

  /** Completes the waiting feeds whose tables have changed or whose history is no longer kept. */
  void notifyFeeds() {
    for (WaitingFeed feed : List.copyOf(waitingFeeds)) {
      if (rows.changes(feed.table(), feed.after()).filter(List::isEmpty).isEmpty()) {
        complete(feed);
      }
    }
  }

  private Promise<HttpResponse> runTransaction(Call call) throws JsonProcessingException {
    JsonNode body = call.json(JsonNode.class);
    List<Condition> conditions = conditions(body.path("expected_rev"));
    List<Condition> removals = conditions(body.path("remove"));
    List<Row> writes = writes(body.path("writes"));
    Set<String> partitions = new HashSet<>();
    conditions.forEach(each -> partitions.add(each.partition()));
    removals.forEach(each -> partitions.add(each.partition()));
    writes.forEach(each -> partitions.add(each.part()));
    if (conditions.size() + removals.size() + writes.size() > MAX_TRANSACTION_ENTRIES
        || call.body().length > MAX_BODY_BYTES
        || (partitions.size() > 1 && !body.path("across").asBoolean())) {
      return Promise.of(
          Responses.error(400, "transaction has too many entries, bytes or partitions"));
    }
    long waitMillis = partitions.stream().mapToLong(this::queueMillis).max().orElse(0);
    if (waitMillis > MAX_QUEUE_MILLIS) {
      return Promise.of(Responses.error(429, "too many transactions are waiting"));
    }
    partitions.forEach(
        partition ->
            busyUntilEpochMillisByPartition.put(
                partition, nowEpochMillis() + queueMillis(partition) + TRANSACTION_MILLIS));
    HttpResponse response = apply(conditions, writes, removals);
    return waitMillis == 0 ? Promise.of(response) : Promises.delay(waitMillis, response);
  }

  private HttpResponse apply(
      List<Condition> conditions, List<Row> writes, List<Condition> removals) {
    if (!rows.areMet(conditions)) {
      List<Row> current = conditions.stream().flatMap(each -> rows.current(each).stream()).toList();
      return Responses.json(
          412, Map.of("rows", current, "ver", rows.version(), "now_ms", nowEpochMillis()));
    }
    long version = rows.commit(writes, removals, nowEpochMillis());
    notifyFeeds();
    return Responses.json(200, Map.of("ver", version, "now_ms", nowEpochMillis()));
  }

  private long queueMillis(String partition) {
    return Math.max(
        0, busyUntilEpochMillisByPartition.getOrDefault(partition, 0L) - nowEpochMillis());
  }

  private HttpResponse read(Call call) {
    int limit =
        call.query("limit")
            .map(Integer::valueOf)
            .map(requested -> Math.min(requested, MAX_ROWS_PER_READ))
            .orElse(MAX_ROWS_PER_READ);
    List<Row> found =
        rows.readRange(
            table(call),
            call.query("part").orElse(""),
            call.query("from").orElse(""),
            call.query("to"),
            readEpochMillis());
    List<Row> returned = new ArrayList<>();
    int bytes = 0;
    for (Row row : found) {
      bytes += row.value().length() + row.key().length();
      if (returned.size() == limit || bytes > MAX_BODY_BYTES) {
        break;
      }
      returned.add(row);
    }
    return Responses.json(
        200,
        Map.of(
            "rows",
            returned,
            "truncated",
            returned.size() < found.size(),
            "ver",
            rows.version(),
            "now_ms",
            nowEpochMillis()));
  }

  private HttpResponse listPartitions(Call call) {
    String after = call.query("after").orElse("");
    List<String> partitions =
        rows.currentRows(table(call)).stream()
            .map(Row::part)
            .distinct()
            .filter(partition -> partition.compareTo(after) > 0)
            .toList();
    return Responses.json(200, Map.of("parts", partitions, "truncated", false));
  }

  private Promise<HttpResponse> feed(Call call) {
    long waitMillis =
        Math.min(MAX_FEED_WAIT_MILLIS, call.query("wait_ms").map(Long::valueOf).orElse(0L));
    long after = call.query("after").map(Long::valueOf).orElse(0L);
    if (faults.get().forgetHistory() && after < rows.version()) {
      return Promise.of(Responses.error(410, "history is no longer kept"));
    }
    WaitingFeed feed = new WaitingFeed(table(call), after, new SettablePromise<>());
    boolean hasNoChanges = rows.changes(feed.table(), after).filter(List::isEmpty).isPresent();
    if (waitMillis == 0 || !hasNoChanges) {
      return Promise.of(response(feed));
    }
    waitingFeeds.add(feed);
    eventloop.delayBackground(waitMillis, () -> complete(feed));
    return feed.response();
  }

  /** Completes a feed. While calls hang it gets no response, neither now nor later. */
  private void complete(WaitingFeed feed) {
    if (waitingFeeds.remove(feed) && !faults.get().hang()) {
      feed.response().set(response(feed));
    }
  }

  private HttpResponse response(WaitingFeed feed) {
    return rows.changes(feed.table(), feed.after())
        .map(
            changes ->
                Responses.json(
                    200,
                    Map.of("rows", changes, "ver", rows.version(), "now_ms", nowEpochMillis())))
        .orElseGet(() -> Responses.error(410, "history is no longer kept"));
  }

  private static List<Condition> conditions(JsonNode nodes) {
    List<Condition> conditions = new ArrayList<>();
    for (JsonNode node : nodes) {
      conditions.add(
          new Condition(
              name(node, "table"),
              name(node, "part"),
              name(node, "key"),
              node.path("ver").asLong()));
    }
    return conditions;
  }

  private static List<Row> writes(JsonNode nodes) {
    List<Row> writes = new ArrayList<>();
    for (JsonNode node : nodes) {
      String value = node.path("value").asText();
      if (value.length() > MAX_VALUE_CHARACTERS) {
        throw new IllegalArgumentException("value exceeds 64 KiB");
      }
      writes.add(new Row(name(node, "table"), name(node, "part"), name(node, "key"), value, 0));
    }
    return writes;
  }

  private static String name(JsonNode node, String field) {
    String name = node.path(field).asText();
    if (!node.path(field).isTextual() || name.getBytes(UTF_8).length > MAX_NAME_BYTES) {
      throw new IllegalArgumentException("missing or invalid " + field);
    }
    return name;
  }

  private static String table(Call call) {
    return call.query("table")
        .orElseThrow(() -> new IllegalArgumentException("query parameter table is missing"));
  }

  private long readEpochMillis() {
    Faults current = faults.get();
    return current.staleReads() ? nowEpochMillis() - current.staleMillis() : nowEpochMillis();
  }

  private long nowEpochMillis() {
    return eventloop.currentTimeMillis();
  }
}
