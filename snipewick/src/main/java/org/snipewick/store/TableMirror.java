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
import org.snipewick.failure.Failure;
import org.snipewick.failure.FailureException;
import org.snipewick.failure.FailureType;
import org.snipewick.time.TimerService;

/**
 * Mirror of a table of the store, which passes all rows and then each change to a listener. It
 * polls for the changes. Each poll waits only a short time, because a connection that has failed
 * without notice is detected only when a call on it times out. No change between the read of all
 * rows and the first poll is lost, as polling starts at the version of the first page. In a new era
 * of the store, all rows are read again. Not thread-safe: to be used on the thread on which the
 * reader's futures complete.
 */
public final class TableMirror {
  private static final long BASE_BACKOFF_MILLIS = 50;

  /**
   * Two attempts per second of each instance keep the load of an outage below a third of the rate
   * of reads that the store serves.
   */
  private static final long MAX_BACKOFF_MILLIS = 500;

  private static final int MAX_DOUBLINGS = 4;
  private static final long NO_VERSION = -1;

  private final TableFeed feed;
  private final String table;
  private final PollSchedule schedule;
  private final TimerService timer;
  private final EventLog events;
  private final RandomGenerator random;
  private final MirrorListener listener;
  private long version = NO_VERSION;
  private Optional<Long> era = Optional.empty();
  private int failures;
  private boolean closed;

  private TableMirror(
      TableFeed feed,
      String table,
      PollSchedule schedule,
      TimerService timer,
      EventLog events,
      RandomGenerator random,
      MirrorListener listener) {
    this.feed = requireNonNull(feed, "feed");
    this.table = requireNonNull(table, "table");
    this.schedule = requireNonNull(schedule, "schedule");
    this.timer = requireNonNull(timer, "timer");
    this.events = requireNonNull(events, "events");
    this.random = requireNonNull(random, "random");
    this.listener = requireNonNull(listener, "listener");
  }

  /**
   * Starts to read a table from the store and to follow its changes there.
   *
   * @param reader access to the store
   * @param table name of the table
   * @param schedule times of the polls
   * @param timer clock and timer of the backoff
   * @param events log that records when the table becomes unreadable and readable again
   * @param random source of the backoff's jitter
   * @param listener receives rows, changes and failures
   * @return running mirror
   */
  public static TableMirror start(
      TableReader reader,
      String table,
      PollSchedule schedule,
      TimerService timer,
      EventLog events,
      RandomGenerator random,
      MirrorListener listener) {
    TableFeed feed = TableFeed.of(reader, table, timer);
    return start(feed, table, schedule, timer, events, random, listener);
  }

  /**
   * Starts to read a table and to follow its changes.
   *
   * @param feed source of the rows and changes
   * @param table name of the table
   * @param schedule times of the polls
   * @param timer clock and timer of the backoff
   * @param events log that records when the table becomes unreadable and readable again
   * @param random source of the backoff's jitter
   * @param listener receives rows, changes and failures
   * @return running mirror
   */
  public static TableMirror start(
      TableFeed feed,
      String table,
      PollSchedule schedule,
      TimerService timer,
      EventLog events,
      RandomGenerator random,
      MirrorListener listener) {
    TableMirror mirror = new TableMirror(feed, table, schedule, timer, events, random, listener);
    mirror.sendNext();
    return mirror;
  }

  /** Stops the mirror; the response to a call in flight is still passed to the listener. */
  public void close() {
    closed = true;
  }

  private void sendNext() {
    if (closed) {
      return;
    }
    if (version == NO_VERSION) {
      readRemaining(new ArrayList<>(), Optional.empty());
    } else {
      pollChanges();
    }
  }

  /** Reads the rows after those of earlier pages; the first page determines version and proof. */
  private void readRemaining(List<TableRow> rowsSoFar, Optional<Proven<RowPage>> earlierFirst) {
    Optional<String> after = earlierFirst.map(page -> rowsSoFar.get(rowsSoFar.size() - 1).key());
    feed.read(after)
        .whenComplete(
            (page, thrown) -> {
              if (thrown != null) {
                onFailure(thrown);
                return;
              }
              RowPage current = page.value();
              Proven<RowPage> first = earlierFirst.orElse(page);
              if (first.value().era() != current.era()
                  || current.era() < era.orElse(current.era())) {
                onFailure(eraFailure("page of era " + current.era()));
                return;
              }
              rowsSoFar.addAll(current.rows());
              if (current.isTruncated() && !current.rows().isEmpty()) {
                readRemaining(rowsSoFar, Optional.of(first));
                return;
              }
              version = first.value().version();
              boolean isNewEra = current.era() != era.orElse(current.era());
              era = Optional.of(current.era());
              onSuccess();
              if (isNewEra) {
                notifyListener(listener::onNewEra);
              }
              notifyListener(() -> listener.onRows(List.copyOf(rowsSoFar), first.provenAt()));
              sendNext();
            });
  }

  private void pollChanges() {
    feed.changes(version, schedule.maxWait())
        .whenComplete(
            (changes, thrown) -> {
              if (thrown != null) {
                onFailure(thrown);
              } else if (changes.value() instanceof RowChanges.Delta delta
                  && !isOfEra(delta.era())) {
                onHistoryLost("changes of era " + delta.era() + " instead of " + era.get());
              } else if (changes.value() instanceof RowChanges.Delta delta) {
                version = Math.max(version, delta.version());
                onSuccess();
                notifyListener(() -> listener.onChanges(delta, changes.provenAt()));
                sendAfter(delta);
              } else {
                onHistoryLost(((RowChanges.HistoryLost) changes.value()).detail());
              }
            });
  }

  private boolean isOfEra(long other) {
    return era.filter(known -> known == other).isPresent();
  }

  private static FailureException eraFailure(String detail) {
    return Failure.notRun(FailureType.PLATFORM_UNAVAILABLE, detail + " while reading another one")
        .toException();
  }

  private void sendAfter(RowChanges.Delta delta) {
    boolean isEmpty = delta.written().isEmpty() && delta.removedKeys().isEmpty();
    if (isEmpty || schedule.pauseAfterChange().isZero()) {
      sendNext();
    } else {
      timer.after(schedule.pauseAfterChange(), this::sendNext);
    }
  }

  /** Notifies the listener; a defect in it must not end the mirror. */
  private void notifyListener(Runnable notification) {
    try {
      notification.run();
    } catch (RuntimeException defect) {
      events.record(EventType.INTERNAL_ERROR, table, Map.of("detail", String.valueOf(defect)));
    }
  }

  private void onHistoryLost(String detail) {
    events.record(EventType.TABLE_HISTORY_LOST, table, Map.of("detail", detail));
    version = NO_VERSION;
    sendNext();
  }

  private void onSuccess() {
    if (failures > 0) {
      events.record(EventType.TABLE_REGAINED, table, Map.of("failures", failures));
      failures = 0;
      listener.onAvailableAgain();
    }
  }

  private void onFailure(Throwable thrown) {
    failures++;
    if (failures == 1) {
      String detail = FailureException.unwrap(thrown).detail();
      events.record(EventType.TABLE_LOST, table, Map.of("detail", detail, "version", version));
      listener.onUnavailable();
    }
    long ceilingMillis = BASE_BACKOFF_MILLIS << Math.min(failures, MAX_DOUBLINGS);
    long delayMillis = 1 + random.nextLong(Math.min(MAX_BACKOFF_MILLIS, ceilingMillis));
    timer.after(Duration.ofMillis(delayMillis), this::sendNext);
  }
}
