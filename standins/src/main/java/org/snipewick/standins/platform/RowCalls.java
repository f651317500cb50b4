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

/** The calls of the store on rows: transactions, reads and feeds. */
final class RowCalls {
  private static final int MAX_ENTRIES = 100;
  private static final int MAX_CALL_BYTES = 1_000_000;
  private static final int MAX_NAME_BYTES = 200;
  private static final int MAX_VALUE_CHARACTERS = 65_536 * 4 / 3 + 4;
  private static final int MAX_ROWS = 500;
  private static final long PART_MILLIS = 5;
  private static final long LONGEST_QUEUE_MILLIS = 1_000;
  private static final long MAX_WAIT_MILLIS = 30_000;

  private final Eventloop eventloop;
  private final Supplier<Faults> faults;
  private final RowStore rows;
  private final Map<String, Long> busyUntilByPart = new HashMap<>();
  private final Set<Waiting> waiting = new LinkedHashSet<>();

  RowCalls(Eventloop eventloop, Supplier<Faults> faults, RowStore rows) {
    this.eventloop = eventloop;
    this.faults = faults;
    this.rows = rows;
  }

  /** A feed that waits for the first change. */
  private record Waiting(String table, long after, SettablePromise<HttpResponse> answer) {}

  /** Serves a call on rows; empty if it is none. */
  Optional<Promise<HttpResponse>> serve(Call call) throws JsonProcessingException {
    if (call.method() == HttpMethod.POST) {
      return call.path().equals("/rows-tx") ? Optional.of(transact(call)) : Optional.empty();
    }
    return switch (call.path()) {
      case "/rows-get" -> Optional.of(Promise.of(read(call)));
      case "/rows-feed" -> Optional.of(feed(call));
      case "/rows-parts" -> Optional.of(Promise.of(parts(call)));
      default -> Optional.empty();
    };
  }

  /** Answers the feeds that a change of the rows concerns. */
  void changed() {
    for (Waiting feed : List.copyOf(waiting)) {
      if (rows.changes(feed.table(), feed.after()).filter(List::isEmpty).isEmpty()) {
        end(feed);
      }
    }
  }

  private Promise<HttpResponse> transact(Call call) throws JsonProcessingException {
    JsonNode body = call.json(JsonNode.class);
    List<Condition> conditions = conditions(body.path("expected_rev"));
    List<Condition> removals = conditions(body.path("remove"));
    List<Row> writes = writes(body.path("writes"));
    Set<String> parts = new HashSet<>();
    conditions.forEach(each -> parts.add(each.part()));
    removals.forEach(each -> parts.add(each.part()));
    writes.forEach(each -> parts.add(each.part()));
    if (conditions.size() + removals.size() + writes.size() > MAX_ENTRIES
        || call.body().length > MAX_CALL_BYTES
        || (parts.size() > 1 && !body.path("across").asBoolean())) {
      return Promise.of(Responses.error(400, "too many entries, bytes or parts"));
    }
    long wait = parts.stream().mapToLong(this::queueMillis).max().orElse(0);
    if (wait > LONGEST_QUEUE_MILLIS) {
      return Promise.of(Responses.error(429, "too many transactions wait"));
    }
    parts.forEach(part -> busyUntilByPart.put(part, now() + queueMillis(part) + PART_MILLIS));
    HttpResponse answer = apply(conditions, writes, removals);
    return wait == 0 ? Promise.of(answer) : Promises.delay(wait, answer);
  }

  private HttpResponse apply(
      List<Condition> conditions, List<Row> writes, List<Condition> removals) {
    if (!rows.hold(conditions)) {
      List<Row> current = conditions.stream().flatMap(each -> rows.current(each).stream()).toList();
      return Responses.json(412, Map.of("rows", current, "ver", rows.version(), "now_ms", now()));
    }
    long version = rows.commit(writes, removals, now());
    changed();
    return Responses.json(200, Map.of("ver", version, "now_ms", now()));
  }

  private long queueMillis(String part) {
    return Math.max(0, busyUntilByPart.getOrDefault(part, 0L) - now());
  }

  private HttpResponse read(Call call) {
    int limit =
        call.query("limit")
            .map(Integer::valueOf)
            .map(asked -> Math.min(asked, MAX_ROWS))
            .orElse(MAX_ROWS);
    List<Row> found =
        rows.rows(
            table(call),
            call.query("part").orElse(""),
            call.query("from").orElse(""),
            call.query("to"),
            readTime());
    List<Row> given = new ArrayList<>();
    int bytes = 0;
    for (Row row : found) {
      bytes += row.value().length() + row.key().length();
      if (given.size() == limit || bytes > MAX_CALL_BYTES) {
        break;
      }
      given.add(row);
    }
    return Responses.json(
        200,
        Map.of(
            "rows",
            given,
            "truncated",
            given.size() < found.size(),
            "ver",
            rows.version(),
            "now_ms",
            now()));
  }

  private HttpResponse parts(Call call) {
    String after = call.query("after").orElse("");
    List<String> parts =
        rows.all(table(call)).stream()
            .map(Row::part)
            .distinct()
            .filter(part -> part.compareTo(after) > 0)
            .toList();
    return Responses.json(200, Map.of("parts", parts, "truncated", false));
  }

  private Promise<HttpResponse> feed(Call call) {
    long waitMillis =
        Math.min(MAX_WAIT_MILLIS, call.query("wait_ms").map(Long::valueOf).orElse(0L));
    long after = call.query("after").map(Long::valueOf).orElse(0L);
    if (faults.get().forgetHistory() && after < rows.version()) {
      return Promise.of(Responses.error(410, "history is gone"));
    }
    Waiting feed = new Waiting(table(call), after, new SettablePromise<>());
    boolean isQuiet = rows.changes(feed.table(), after).filter(List::isEmpty).isPresent();
    if (waitMillis == 0 || !isQuiet) {
      return Promise.of(answer(feed));
    }
    waiting.add(feed);
    eventloop.delayBackground(waitMillis, () -> end(feed));
    return feed.answer();
  }

  /** Answers a feed; while calls hang it has gone silent for good, as its connection has. */
  private void end(Waiting feed) {
    if (waiting.remove(feed) && !faults.get().hang()) {
      feed.answer().set(answer(feed));
    }
  }

  private HttpResponse answer(Waiting feed) {
    return rows.changes(feed.table(), feed.after())
        .map(
            changes ->
                Responses.json(
                    200, Map.of("rows", changes, "ver", rows.version(), "now_ms", now())))
        .orElseGet(() -> Responses.error(410, "history is gone"));
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
        throw new IllegalArgumentException("value is too long");
      }
      writes.add(new Row(name(node, "table"), name(node, "part"), name(node, "key"), value, 0));
    }
    return writes;
  }

  private static String name(JsonNode node, String field) {
    String name = node.path(field).asText();
    if (!node.path(field).isTextual() || name.getBytes(UTF_8).length > MAX_NAME_BYTES) {
      throw new IllegalArgumentException("no valid " + field);
    }
    return name;
  }

  private static String table(Call call) {
    return call.query("table").orElseThrow(() -> new IllegalArgumentException("no table"));
  }

  private long readTime() {
    Faults present = faults.get();
    return present.staleReads() ? now() - present.staleMillis() : now();
  }

  private long now() {
    return eventloop.currentTimeMillis();
  }
}
