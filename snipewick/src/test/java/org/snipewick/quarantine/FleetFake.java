package org.snipewick.quarantine;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import org.snipewick.event.EventLog;
import org.snipewick.failure.Failure;
import org.snipewick.failure.FailureType;
import org.snipewick.identity.InstanceId;
import org.snipewick.store.RowChanges;
import org.snipewick.store.TableRow;
import org.snipewick.time.Moment;
import org.snipewick.time.VirtualTimerService;

/** Instances that share a table of a store, each of which polls its changes, in virtual time. */
final class FleetFake {
  private static final Duration WRITE_TIME = Duration.ofMillis(6);
  private static final Duration POLL_PERIOD = Duration.ofMillis(400);

  private final VirtualTimerService timer = VirtualTimerService.of(1_800_000_000_000L);
  private final Map<String, TableRow> rows = new TreeMap<>();
  private final List<Quarantine> instances = new ArrayList<>();
  private final List<Long> seenVersions = new ArrayList<>();
  private final Set<Integer> disconnected = new HashSet<>();
  private long version;
  private int writes;

  FleetFake() {
    timer.every(POLL_PERIOD, this::deliverChanges);
  }

  void start(int count) {
    for (int index = 0; index < count; index++) {
      add();
    }
  }

  void add() {
    instances.add(null);
    seenVersions.add(0L);
    restart(instances.size() - 1);
  }

  /** Replaces the process of an instance by a new one, which reads all rows. */
  void restart(int index) {
    Quarantine[] self = new Quarantine[1];
    self[0] =
        Quarantine.of(
            InstanceId.of("front-" + index),
            (table, key, value) -> write(index, self[0], key, value),
            timer,
            EventLog.none(),
            new SplittableRandom(index));
    instances.set(index, self[0]);
    seenVersions.set(index, version);
    self[0].onRows(List.copyOf(rows.values()), Moment.now(timer));
  }

  /** Restores the store without any row, which starts a new era. */
  void restoreStoreWithoutRows() {
    rows.clear();
    version = 0;
    for (int index = 0; index < instances.size(); index++) {
      seenVersions.set(index, 0L);
      instances.get(index).onNewEra();
      instances.get(index).onRows(List.of(), Moment.now(timer));
    }
  }

  void restartAll() {
    for (int index = 0; index < instances.size(); index++) {
      restart(index);
    }
  }

  void disconnect(int index) {
    disconnected.add(index);
  }

  void connect(int index) {
    disconnected.remove(index);
  }

  Quarantine quarantine(int index) {
    return instances.get(index);
  }

  int size() {
    return instances.size();
  }

  int writes() {
    return writes;
  }

  void advance(Duration duration) {
    timer.advance(duration);
  }

  void after(Duration delay, Runnable task) {
    timer.after(delay, task);
  }

  long nanoTime() {
    return timer.nanoTime();
  }

  long epochMillis() {
    return timer.epochMillis();
  }

  Duration elapsed() {
    return Duration.ofNanos(timer.nanoTime());
  }

  void putRow(String key, String content) {
    putRow(key, content.getBytes(StandardCharsets.UTF_8));
  }

  private long putRow(String key, byte[] value) {
    version++;
    rows.put(key, new TableRow("", key, value, version));
    return version;
  }

  /** Writes a row unless the process was replaced or cannot reach the store. */
  private CompletableFuture<Long> write(int index, Quarantine process, String key, byte[] value) {
    CompletableFuture<Long> written = new CompletableFuture<>();
    timer.after(
        WRITE_TIME,
        () -> {
          if (disconnected.contains(index) || instances.get(index) != process) {
            written.completeExceptionally(
                Failure.notRun(FailureType.PLATFORM_UNAVAILABLE, "no path").toException());
          } else {
            writes++;
            written.complete(putRow(key, value));
          }
        });
    return written;
  }

  private void deliverChanges() {
    for (int index = 0; index < instances.size(); index++) {
      long seen = seenVersions.get(index);
      if (!disconnected.contains(index)) {
        List<TableRow> changed =
            rows.values().stream().filter(row -> row.version() > seen).toList();
        seenVersions.set(index, version);
        instances
            .get(index)
            .onChanges(new RowChanges.Delta(changed, List.of(), version), Moment.now(timer));
      }
    }
  }
}
