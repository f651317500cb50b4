package org.snipewick.rollout;

import static java.util.Objects.requireNonNull;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.snipewick.event.EventLog;
import org.snipewick.event.EventType;
import org.snipewick.identity.PoolName;
import org.snipewick.store.MalformedRow;
import org.snipewick.store.MirrorListener;
import org.snipewick.store.RowChanges;
import org.snipewick.store.TableRow;
import org.snipewick.time.Moment;
import org.snipewick.time.TimerService;

/** Evidence of all instances as read from the store, with that of the last seconds. */
final class EvidenceView implements MirrorListener {
  /** Time over which a version that has turned bad is compared with the old ones. */
  private static final long RECENT_NANOS = Duration.ofSeconds(3).toNanos();

  private final TimerService timer;
  private final EventLog events;
  private final Map<String, Deque<Seen>> rows = new HashMap<>();
  private Optional<Moment> provedAt = Optional.empty();

  EvidenceView(TimerService timer, EventLog events) {
    this.timer = requireNonNull(timer, "timer");
    this.events = requireNonNull(events, "events");
  }

  private record Seen(long atNanos, Evidence evidence) {}

  /** Returns the key of an instance's row. */
  static String keyOf(PoolName pool, String instance) {
    return pool.value() + "/" + instance;
  }

  /** Drops all evidence, as counts in an older copy of the store would seem to go back. */
  @Override
  public void onNewEra() {
    rows.clear();
  }

  @Override
  public void onRows(List<TableRow> all, Moment sentAt) {
    Set<String> missing = new HashSet<>(rows.keySet());
    for (TableRow row : all) {
      missing.remove(row.key());
      add(row);
    }
    missing.forEach(rows::remove);
    provedAt = Optional.of(sentAt);
  }

  @Override
  public void onChanges(RowChanges.Delta changes, Moment sentAt) {
    changes.written().forEach(this::add);
    changes.removedKeys().forEach(rows::remove);
    provedAt = Optional.of(sentAt);
  }

  private void add(TableRow row) {
    try {
      Evidence evidence = Evidence.decode(row.value());
      Deque<Seen> seen = rows.computeIfAbsent(row.key(), key -> new ArrayDeque<>());
      if (!seen.isEmpty() && seen.getLast().evidence().id() != evidence.id()) {
        seen.clear();
      }
      long now = timer.nanoTime();
      seen.addLast(new Seen(now, evidence));
      while (seen.size() > 2 && now - secondOf(seen).atNanos() > RECENT_NANOS) {
        seen.removeFirst();
      }
    } catch (IOException | RuntimeException malformed) {
      events.record(EventType.ROW_MALFORMED, row.key(), MalformedRow.details(row, malformed));
    }
  }

  private static Seen secondOf(Deque<Seen> seen) {
    return seen.stream().skip(1).findFirst().orElseThrow();
  }

  /** Returns whether the rows were current a moment ago. */
  boolean isCurrent(Duration maxAge) {
    return provedAt
        .map(proved -> Moment.now(timer).since(proved).compareTo(maxAge) < 0)
        .orElse(false);
  }

  /** Returns the latest evidence of an order by instance. */
  Map<String, Evidence> latest(PoolName pool, long id) {
    Map<String, Evidence> found = new HashMap<>();
    forEachOf(pool, id, (instance, seen) -> found.put(instance, seen.getLast().evidence()));
    return found;
  }

  /** Returns what was counted in the last seconds, by instance. */
  Map<String, Evidence> recent(PoolName pool, long id) {
    long since = timer.nanoTime() - RECENT_NANOS;
    Map<String, Evidence> found = new HashMap<>();
    forEachOf(
        pool,
        id,
        (instance, seen) -> {
          Evidence last = seen.getLast().evidence();
          boolean isFirstOld = seen.size() > 1 && seen.getFirst().atNanos() - since <= 0;
          found.put(instance, isFirstOld ? last.since(seen.getFirst().evidence()) : last);
        });
    return found;
  }

  /** Returns the instances whose evidence was written a moment ago. */
  Set<String> current(PoolName pool, long id, Duration maxAge) {
    long since = timer.nanoTime() - maxAge.toNanos();
    Set<String> found = new HashSet<>();
    forEachOf(
        pool,
        id,
        (instance, seen) -> {
          if (seen.getLast().atNanos() - since > 0) {
            found.add(instance);
          }
        });
    return found;
  }

  @FunctionalInterface
  private interface RowVisitor {
    void visit(String instance, Deque<Seen> seen);
  }

  private void forEachOf(PoolName pool, long id, RowVisitor visitor) {
    String prefix = keyOf(pool, "");
    rows.forEach(
        (key, seen) -> {
          if (key.startsWith(prefix) && seen.getLast().evidence().id() == id) {
            visitor.visit(key.substring(prefix.length()), seen);
          }
        });
  }
}
