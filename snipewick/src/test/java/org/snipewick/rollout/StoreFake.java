package org.snipewick.rollout;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import org.snipewick.failure.Failure;
import org.snipewick.failure.FailureType;
import org.snipewick.store.ConditionalTableWriter;
import org.snipewick.store.EraTracker;
import org.snipewick.store.Row;
import org.snipewick.store.RowChanges;
import org.snipewick.store.RowPage;
import org.snipewick.store.TableReader;
import org.snipewick.store.TableRow;
import org.snipewick.store.TableWriter;
import org.snipewick.store.Write;
import org.snipewick.store.WriteResult;
import org.snipewick.time.VirtualTimerService;

/** Store in virtual time that can be slow, down, or cut off from single instances. */
final class StoreFake {
  private final VirtualTimerService timer;
  private final Map<String, TreeMap<String, TableRow>> tables = new HashMap<>();
  private final Map<String, List<Runnable>> waiters = new HashMap<>();
  private final Set<Integer> cutOff = new HashSet<>();
  private Duration latency = Duration.ofMillis(4);
  private boolean isDown;
  private final Map<String, TreeMap<String, TableRow>> copy = new HashMap<>();
  private long copiedVersion;
  private long era = EraTracker.NO_ERA;
  private long version = 1;
  private int writes;

  StoreFake(VirtualTimerService timer) {
    this.timer = timer;
  }

  void setLatency(Duration oneWay) {
    latency = oneWay;
  }

  void setDown(boolean down) {
    isDown = down;
  }

  void setCutOff(int instance, boolean isCut) {
    if (isCut) {
      cutOff.add(instance);
    } else {
      cutOff.remove(instance);
    }
  }

  /** Copies all rows, for a later restore. */
  void copy() {
    copy.clear();
    tables.forEach((name, rows) -> copy.put(name, new TreeMap<>(rows)));
    copiedVersion = version;
  }

  /** Returns to the copy in a new era, in which versions are assigned again. */
  void restore() {
    tables.clear();
    copy.forEach((name, rows) -> tables.put(name, new TreeMap<>(rows)));
    version = copiedVersion;
    era++;
  }

  int writes() {
    return writes;
  }

  long put(String table, String key, byte[] value) {
    version++;
    tables
        .computeIfAbsent(table, name -> new TreeMap<>())
        .put(key, new TableRow("", key, value, version));
    List<Runnable> woken = waiters.remove(table);
    if (woken != null) {
      woken.forEach(Runnable::run);
    }
    return version;
  }

  Optional<String> value(String table, String key) {
    return row(table, key).map(row -> new String(row.value(), UTF_8));
  }

  private Optional<TableRow> row(String table, String key) {
    return Optional.ofNullable(tables.getOrDefault(table, new TreeMap<>()).get(key));
  }

  /** Returns the access of one instance. */
  RolloutStore access(int instance) {
    Access access = new Access(instance);
    return new RolloutStore(access, access, access);
  }

  private final class Access implements TableReader, TableWriter, ConditionalTableWriter {
    private final int instance;

    private Access(int instance) {
      this.instance = instance;
    }

    private boolean isLost() {
      return isDown || cutOff.contains(instance);
    }

    private <T> CompletableFuture<T> call(java.util.function.Consumer<CompletableFuture<T>> task) {
      CompletableFuture<T> result = new CompletableFuture<>();
      timer.after(
          latency,
          () -> {
            if (isLost()) {
              fail(result);
            } else {
              task.accept(result);
            }
          });
      return result;
    }

    private void fail(CompletableFuture<?> result) {
      timer.after(
          Duration.ofMillis(800),
          () ->
              result.completeExceptionally(
                  Failure.unknown(FailureType.PLATFORM_UNAVAILABLE, "no path").toException()));
    }

    private <T> void reply(CompletableFuture<T> result, T value) {
      timer.after(
          latency,
          () -> {
            if (isLost()) {
              fail(result);
            } else {
              result.complete(value);
            }
          });
    }

    @Override
    public CompletableFuture<RowPage> read(String table, Optional<String> after) {
      return call(
          result ->
              reply(
                  result,
                  new RowPage(
                      List.copyOf(tables.getOrDefault(table, new TreeMap<>()).values()),
                      version,
                      false,
                      era)));
    }

    @Override
    public CompletableFuture<RowChanges> changes(String table, long since, Duration maxWait) {
      return call(result -> poll(result, table, since, timer.nanoTime() + maxWait.toNanos()));
    }

    private void poll(
        CompletableFuture<RowChanges> result, String table, long since, long untilNanos) {
      List<TableRow> written =
          tables.getOrDefault(table, new TreeMap<>()).values().stream()
              .filter(row -> row.version() > since)
              .toList();
      long left = untilNanos - timer.nanoTime();
      if (!written.isEmpty() || left <= 0) {
        reply(result, new RowChanges.Delta(written, List.of(), version, era));
        return;
      }
      boolean[] isWoken = new boolean[1];
      Runnable wake =
          () -> {
            if (!isWoken[0]) {
              isWoken[0] = true;
              poll(result, table, since, untilNanos);
            }
          };
      waiters.computeIfAbsent(table, name -> new ArrayList<>()).add(wake);
      timer.after(Duration.ofNanos(left), wake);
    }

    @Override
    public CompletableFuture<Long> put(String table, String key, byte[] value) {
      writes++;
      return call(result -> reply(result, StoreFake.this.put(table, key, value)));
    }

    @Override
    public CompletableFuture<WriteResult> write(String table, Write write) {
      writes++;
      CompletableFuture<WriteResult> result =
          call(pending -> reply(pending, transact(table, write)));
      return result.exceptionally(lost -> new WriteResult.Ambiguous("no path"));
    }

    private WriteResult transact(String table, Write write) {
      Optional<TableRow> current = row(table, write.key());
      if (write instanceof Write.Insert insert && current.isEmpty()) {
        return new WriteResult.Applied(
            StoreFake.this.put(table, insert.key(), insert.value().getBytes(UTF_8)));
      }
      if (write instanceof Write.Replace replace
          && current.isPresent()
          && current.get().version() == replace.version()) {
        return new WriteResult.Applied(
            StoreFake.this.put(table, replace.key(), replace.value().getBytes(UTF_8)));
      }
      return new WriteResult.Conflict(
          current.map(row -> new Row(row.key(), row.version(), new String(row.value(), UTF_8))));
    }
  }
}
