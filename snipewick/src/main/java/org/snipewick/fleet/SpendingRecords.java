package org.snipewick.fleet;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.snipewick.event.EventLog;
import org.snipewick.event.EventType;
import org.snipewick.identity.TeamName;
import org.snipewick.store.MalformedRow;
import org.snipewick.store.TableReader;
import org.snipewick.store.TableRow;
import org.snipewick.store.TableWriter;
import org.snipewick.time.TimerService;

/**
 * Records of the spending of each group in the store, from which new processes learn what was spent
 * if all earlier ones ended together. A collector writes one row a second while its group spends.
 * Not thread-safe.
 */
public final class SpendingRecords {
  /** Table that contains one row per group. */
  static final String TABLE = "spending";

  private static final ObjectMapper JSON = new ObjectMapper();
  private static final Duration PERIOD = Duration.ofSeconds(1);

  private final TableWriter writer;
  private final TimerService timer;
  private final EventLog events;
  private final int seconds;
  private final Map<String, LinkedList<Double>> spentBySecond = new HashMap<>();
  private Map<String, Totals.Spent> latest = Map.of();
  private String group = "";
  private boolean hasUpdate;
  private boolean isWriting;
  private boolean isLost;

  private SpendingRecords(
      TableWriter writer, TimerService timer, EventLog events, Duration window) {
    this.writer = requireNonNull(writer, "writer");
    this.timer = requireNonNull(timer, "timer");
    this.events = requireNonNull(events, "events");
    this.seconds = (int) Math.max(1, Math.ceil(window.toMillis() / (double) PERIOD.toMillis()));
  }

  /**
   * Starts to write records.
   *
   * @param writer access to the store
   * @param timer source of time
   * @param events log to which the loss of the table and its return are written
   * @param window length of the window of quotas
   * @return records, which are written from the first update on
   */
  public static SpendingRecords start(
      TableWriter writer, TimerService timer, EventLog events, Duration window) {
    SpendingRecords records = new SpendingRecords(writer, timer, events, window);
    timer.every(PERIOD, records::write);
    return records;
  }

  /**
   * Reads what all groups have recorded.
   *
   * @param reader access to the store
   * @param events log to which malformed rows are written
   * @return amounts by team for each second, the latest first; fails if the store cannot be read
   */
  public static CompletableFuture<Map<String, List<Double>>> read(
      TableReader reader, EventLog events) {
    return reader
        .read(TABLE, Optional.empty())
        .thenApply(
            page -> {
              Map<String, List<Double>> sums = new HashMap<>();
              page.rows().forEach(row -> add(row, sums, events));
              return sums;
            });
  }

  private static void add(TableRow row, Map<String, List<Double>> sums, EventLog events) {
    try {
      decode(row.value())
          .forEach((team, amounts) -> sums.merge(team, amounts, SpendingRecords::sum));
    } catch (IOException | RuntimeException malformed) {
      events.record(EventType.ROW_MALFORMED, row.key(), MalformedRow.details(row, malformed));
    }
  }

  private static List<Double> sum(List<Double> first, List<Double> second) {
    List<Double> sum = new ArrayList<>(first.size() < second.size() ? second : first);
    List<Double> shorter = first.size() < second.size() ? first : second;
    for (int index = 0; index < shorter.size(); index++) {
      sum.set(index, sum.get(index) + shorter.get(index));
    }
    return sum;
  }

  /** Decodes a record; an amount that is not a finite number of 0 or more makes it malformed. */
  static Map<String, List<Double>> decode(byte[] value) throws IOException {
    JsonNode root = JSON.readTree(value);
    if (!root.isObject()) {
      throw new IllegalArgumentException("not an object");
    }
    Map<String, List<Double>> spent = new HashMap<>();
    for (Map.Entry<String, JsonNode> team : root.properties()) {
      List<Double> amounts = new ArrayList<>();
      for (JsonNode amount : team.getValue()) {
        double number = amount.isNumber() ? amount.doubleValue() : -1;
        if (!(number >= 0) || Double.isInfinite(number)) {
          throw new IllegalArgumentException("an amount is not a number of 0 or more");
        }
        amounts.add(number);
      }
      spent.put(TeamName.of(team.getKey()).value(), amounts);
    }
    return spent;
  }

  /**
   * Replaces the spending of the group whose reports this instance collects.
   *
   * @param name name of the group
   * @param spent spending by team
   */
  public void update(String name, Map<String, Totals.Spent> spent) {
    group = requireNonNull(name, "name");
    latest = Map.copyOf(spent);
    hasUpdate = true;
  }

  private void write() {
    if (!hasUpdate) {
      return;
    }
    hasUpdate = false;
    latest.keySet().forEach(team -> spentBySecond.computeIfAbsent(team, this::evenly));
    spentBySecond.forEach(
        (team, amounts) -> {
          Totals.Spent spent = latest.get(team);
          amounts.addFirst(spent == null ? 0 : spent.lastSecond());
          amounts.removeLast();
        });
    boolean hasSpent =
        spentBySecond.values().removeIf(amounts -> amounts.stream().allMatch(each -> each == 0))
            || !spentBySecond.isEmpty();
    if (hasSpent && !isWriting) {
      isWriting = true;
      writer.put(TABLE, group, encode()).whenComplete((version, thrown) -> onWritten(thrown));
    }
  }

  /** Spreads what a team spent before its first record over the window. */
  private LinkedList<Double> evenly(String team) {
    Totals.Spent spent = latest.get(team);
    double before = Math.max(0, spent.window() - spent.lastSecond());
    LinkedList<Double> amounts = new LinkedList<>();
    for (int second = 0; second < seconds; second++) {
      amounts.add(seconds == 1 ? 0 : before / (seconds - 1));
    }
    return amounts;
  }

  private byte[] encode() {
    ObjectNode root = JSON.createObjectNode();
    spentBySecond.forEach(
        (team, amounts) -> {
          ArrayNode array = root.putArray(team);
          amounts.forEach(amount -> array.add((long) Math.ceil(amount)));
        });
    return root.toString().getBytes(StandardCharsets.UTF_8);
  }

  private void onWritten(Throwable thrown) {
    isWriting = false;
    if (isLost != (thrown != null)) {
      isLost = thrown != null;
      events.record(isLost ? EventType.TABLE_LOST : EventType.TABLE_REGAINED, TABLE);
    }
  }
}
