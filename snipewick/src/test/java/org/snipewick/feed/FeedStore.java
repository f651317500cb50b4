package org.snipewick.feed;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.snipewick.store.RowChanges;
import org.snipewick.store.RowPage;
import org.snipewick.store.TableRow;
import org.snipewick.time.VirtualTimerService;

/** Store with the history of all changes; the number of a change is its version. */
final class FeedStore {
  private final VirtualTimerService timer;
  private final List<Change> history = new ArrayList<>();
  private final Map<String, Integer> latest = new HashMap<>();
  private final List<WaitingPoll> polls = new ArrayList<>();

  FeedStore(VirtualTimerService timer) {
    this.timer = timer;
  }

  /** A change of a row. */
  record Change(String table, String key, boolean isRemoval, long atNanos) {}

  private record WaitingPoll(String table, Runnable completion) {}

  void write(String table, String key) {
    add(new Change(table, key, false, timer.nanoTime()));
  }

  void remove(String table, String key) {
    add(new Change(table, key, true, timer.nanoTime()));
  }

  private void add(Change change) {
    history.add(change);
    latest.put(change.table() + "/" + change.key(), history.size());
    for (WaitingPoll poll : List.copyOf(polls)) {
      if (poll.table().equals(change.table()) && polls.remove(poll)) {
        poll.completion().run();
      }
    }
  }

  /** Returns whether there is a change of an index, which was made by a time. */
  boolean hasChange(int index, long nanos) {
    return index < history.size() && history.get(index).atNanos() <= nanos;
  }

  Change change(int index) {
    return history.get(index);
  }

  /** Returns whether a change, which has the given version, is the latest one of its row. */
  boolean isLatest(Change change, int version) {
    return latest.get(change.table() + "/" + change.key()) == version;
  }

  /** Returns the version of each row of a table. */
  Map<String, Long> rows(String table) {
    Map<String, Long> rows = new TreeMap<>();
    for (TableRow row : delta(table, 0).written()) {
      rows.put(row.key(), row.version());
    }
    return rows;
  }

  RowPage page(String table) {
    return new RowPage(delta(table, 0).written(), history.size(), false);
  }

  /** Passes the changes since a version to a receiver, as soon as there are any. */
  void poll(String table, long version, Duration maxWait, Consumer<RowChanges> receiver) {
    RowChanges.Delta delta = delta(table, version);
    if (!delta.written().isEmpty() || !delta.removedKeys().isEmpty()) {
      receiver.accept(delta);
      return;
    }
    WaitingPoll poll = new WaitingPoll(table, () -> receiver.accept(delta(table, version)));
    polls.add(poll);
    timer.after(
        maxWait,
        () -> {
          if (polls.remove(poll)) {
            poll.completion().run();
          }
        });
  }

  private RowChanges.Delta delta(String table, long version) {
    Map<String, TableRow> written = new TreeMap<>();
    Set<String> removed = new HashSet<>();
    for (int index = (int) version; index < history.size(); index++) {
      Change change = history.get(index);
      if (change.table().equals(table)) {
        written.remove(change.key());
        removed.remove(change.key());
        if (change.isRemoval()) {
          removed.add(change.key());
        } else {
          byte[] value = "value".getBytes(UTF_8);
          written.put(change.key(), new TableRow("", change.key(), value, index + 1L));
        }
      }
    }
    return new RowChanges.Delta(
        List.copyOf(written.values()), List.copyOf(removed), history.size());
  }
}
