package org.snipewick.store;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.snipewick.event.EventLog;
import org.snipewick.event.EventType;
import org.snipewick.failure.FailureException;
import org.snipewick.time.Moment;
import org.snipewick.time.TimerService;

/**
 * Follows a table of the store: reads all rows, then waits for changes in short calls, as a
 * connection that has gone silent shows only by its time-out. Changes between reading and waiting
 * are not lost, as the first wait begins at the version of the first page. To be used on the thread
 * on which the reader's futures complete.
 */
public final class TableMirror {
  private static final long BASE_BACKOFF_MILLIS = 50;

  /** Two tries a second for each instance keep an outage below a third of the store's reads. */
  private static final long MAX_BACKOFF_MILLIS = 500;

  private static final int MAX_DOUBLINGS = 4;
  private static final long NEVER = -1;

  private final TableReader reader;
  private final String table;
  private final Duration wait;
  private final TimerService timer;
  private final EventLog events;
  private final RandomGenerator random;
  private final MirrorListener listener;
  private long version = NEVER;
  private int failures;
  private boolean closed;

  private TableMirror(
      TableReader reader,
      String table,
      Duration wait,
      TimerService timer,
      EventLog events,
      RandomGenerator random,
      MirrorListener listener) {
    this.reader = requireNonNull(reader, "reader");
    this.table = requireNonNull(table, "table");
    this.wait = requireNonNull(wait, "wait");
    this.timer = requireNonNull(timer, "timer");
    this.events = requireNonNull(events, "events");
    this.random = requireNonNull(random, "random");
    this.listener = requireNonNull(listener, "listener");
  }

  /**
   * Starts to follow a table.
   *
   * @param reader access to the store
   * @param table name of the table
   * @param wait how long each call may wait for a change
   * @param timer source of time
   * @param events log that gets loss and return of the table
   * @param random randomness for the backoff
   * @param listener gets what is learnt
   * @return running mirror
   */
  public static TableMirror start(
      TableReader reader,
      String table,
      Duration wait,
      TimerService timer,
      EventLog events,
      RandomGenerator random,
      MirrorListener listener) {
    TableMirror mirror = new TableMirror(reader, table, wait, timer, events, random, listener);
    mirror.next();
    return mirror;
  }

  /** Ends the mirror after the call in flight. */
  public void close() {
    closed = true;
  }

  private void next() {
    if (closed) {
      return;
    }
    Moment sentAt = Moment.now(timer);
    if (version == NEVER) {
      readAll(new ArrayList<>(), Optional.empty(), NEVER, sentAt);
    } else {
      follow(sentAt);
    }
  }

  private void readAll(
      List<TableRow> rows, Optional<String> after, long firstVersion, Moment sentAt) {
    reader
        .read(table, after)
        .whenComplete(
            (page, thrown) -> {
              if (thrown != null) {
                failed(thrown);
                return;
              }
              rows.addAll(page.rows());
              long first = firstVersion == NEVER ? page.version() : firstVersion;
              if (page.isTruncated() && !page.rows().isEmpty()) {
                String last = page.rows().get(page.rows().size() - 1).key();
                readAll(rows, Optional.of(last), first, sentAt);
                return;
              }
              version = first;
              succeeded();
              listener.onRows(List.copyOf(rows), sentAt);
              next();
            });
  }

  private void follow(Moment sentAt) {
    reader
        .changes(table, version, wait)
        .whenComplete(
            (changes, thrown) -> {
              if (thrown != null) {
                failed(thrown);
              } else if (changes instanceof RowChanges.Told told) {
                version = Math.max(version, told.version());
                succeeded();
                listener.onChanges(told, sentAt);
                next();
              } else {
                forgotten(((RowChanges.Forgotten) changes).detail());
              }
            });
  }

  private void forgotten(String detail) {
    events.record(EventType.TABLE_HISTORY_LOST, table, Map.of("detail", detail));
    version = NEVER;
    next();
  }

  private void succeeded() {
    if (failures > 0) {
      events.record(EventType.TABLE_REGAINED, table, Map.of("failures", failures));
      failures = 0;
      listener.onRegained();
    }
  }

  private void failed(Throwable thrown) {
    failures++;
    if (failures == 1) {
      String detail = FailureException.unwrap(thrown).detail();
      events.record(EventType.TABLE_LOST, table, Map.of("detail", detail, "version", version));
      listener.onLost();
    }
    long ceiling = BASE_BACKOFF_MILLIS << Math.min(failures, MAX_DOUBLINGS);
    long millis = 1 + random.nextLong(Math.min(MAX_BACKOFF_MILLIS, ceiling));
    timer.after(Duration.ofMillis(millis), this::next);
  }
}
