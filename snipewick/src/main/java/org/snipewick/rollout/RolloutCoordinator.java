package org.snipewick.rollout;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.random.RandomGenerator;
import org.snipewick.event.EventLog;
import org.snipewick.event.EventType;
import org.snipewick.identity.PoolName;
import org.snipewick.store.ConditionalTableWriter;
import org.snipewick.store.Row;
import org.snipewick.store.Write;
import org.snipewick.store.WriteResult;
import org.snipewick.time.TimerService;

/**
 * Advances the order of one pool: starts it, decides its next phase and writes its status. Several
 * instances do so at the same time; the writes are conditional on the version of the record, so
 * that one of them succeeds. Not thread-safe.
 */
final class RolloutCoordinator {
  /** Table that contains the statuses for the operator. */
  static final String STATUS_TABLE = "status";

  /** Time after which a record is confirmed, which shows that instances that decide are alive. */
  private static final Duration REFRESH_PERIOD = Duration.ofMillis(1500);

  /** Age from which on evidence is too old to decide by. */
  private static final Duration MAX_VIEW_AGE = Duration.ofMillis(2500);

  /** Time that the instance which wrote a phase has for reporting it. */
  private static final Duration REPORT_TIMEOUT = Duration.ofMillis(600);

  private static final long MIN_RETRY_MILLIS = 100;
  private static final long MAX_RETRY_MILLIS = 400;
  private static final ObjectMapper JSON = new ObjectMapper();

  private final PoolName pool;
  private final PoolTraffic traffic;
  private final RolloutBounds bounds;
  private final ConditionalTableWriter writer;
  private final TimerService timer;
  private final EventLog events;
  private final RandomGenerator random;
  private long rowVersion;
  private long recordSeenNanos;
  private long reportDueNanos;
  private boolean isWriting;
  private boolean isRecordOlder;

  RolloutCoordinator(
      PoolName pool,
      PoolTraffic traffic,
      RolloutBounds bounds,
      ConditionalTableWriter writer,
      TimerService timer,
      EventLog events,
      RandomGenerator random) {
    this.pool = requireNonNull(pool, "pool");
    this.traffic = requireNonNull(traffic, "traffic");
    this.bounds = requireNonNull(bounds, "bounds");
    this.writer = requireNonNull(writer, "writer");
    this.timer = requireNonNull(timer, "timer");
    this.events = requireNonNull(events, "events");
    this.random = requireNonNull(random, "random");
    this.recordSeenNanos = timer.nanoTime();
  }

  /** Records that another version of the record was seen. */
  void recordSeen(long version) {
    isRecordOlder = false;
    recordSeenNanos = timer.nanoTime();
    if (version != rowVersion) {
      reportDueNanos = recordSeenNanos + REPORT_TIMEOUT.toNanos();
    }
    rowVersion = version;
  }

  /** Records that the row holds an older state than the known one, as in a restored store. */
  void recordIsOlder() {
    isRecordOlder = true;
  }

  /**
   * Records that the rows of a restored store were read. The record and the status are written
   * again, as the store may have lost them.
   *
   * @param hasRow whether the store has a row for the record
   */
  void storeRestored(boolean hasRow) {
    if (!hasRow) {
      rowVersion = 0;
    }
    recordSeenNanos = timer.nanoTime();
    isRecordOlder = traffic.record().isPresent();
  }

  /** Records that the operator's row was read; whoever is to start the order has time to do so. */
  void orderSeen() {
    if (isStartDue()) {
      recordSeenNanos = timer.nanoTime();
    }
  }

  /** Returns the time since the record was last written, or the order was read. */
  Duration recordAge() {
    return Duration.ofNanos(timer.nanoTime() - recordSeenNanos);
  }

  /** Returns whether an order is to be started, advanced or reported. */
  boolean hasWork() {
    return isStartDue()
        || isRecordOlder
        || traffic
            .record()
            .map(record -> !record.phase().hasEnded() || !record.isReported())
            .orElse(false);
  }

  private boolean isStartDue() {
    Optional<RolloutOrder> order = traffic.order();
    return order.isPresent()
        && traffic
            .record()
            .map(record -> !record.isOf(order.get(), timer.epochMillis()))
            .orElse(true);
  }

  /** Does what is due, if no write is under way. */
  void advance(EvidenceView view, Set<String> members) {
    if (isWriting || !traffic.isCurrent()) {
      return;
    }
    if (isStartDue()) {
      start(traffic.order().orElseThrow());
      return;
    }
    Optional<RolloutRecord> record = traffic.record();
    if (record.isEmpty()) {
      return;
    }
    if (isRecordOlder) {
      write(record.get().unreported(), "");
      return;
    }
    Optional<RolloutDecision.Next> next =
        view.isCurrent(MAX_VIEW_AGE)
            ? decision(record.get(), view, members).next()
            : Optional.empty();
    if (next.isPresent()) {
      write(withNext(record.get(), next.get()), next.get().reason());
    } else if (!record.get().isReported() && timer.nanoTime() - reportDueNanos >= 0) {
      report(record.get(), rowVersion);
    } else if (!record.get().phase().hasEnded() && recordAge().compareTo(REFRESH_PERIOD) >= 0) {
      write(record.get().refreshed(), "");
    }
  }

  private void start(RolloutOrder order) {
    write(RolloutRecord.start(order, traffic.record(), timer.epochMillis()), "ordered");
  }

  private RolloutDecision decision(RolloutRecord record, EvidenceView view, Set<String> members) {
    return new RolloutDecision(
        record,
        bounds,
        new RolloutDecision.View(
            traffic.elapsed(),
            view.latest(pool, record.id()),
            view.recent(pool, record.id()),
            view.current(pool, record.id(), RolloutDecision.MAX_EVIDENCE_AGE),
            members,
            traffic.targetEndpoints().size(),
            traffic.oldVersions(),
            traffic.order().isEmpty()));
  }

  private RolloutRecord withNext(RolloutRecord record, RolloutDecision.Next next) {
    List<String> givenUp =
        switch (next.phase()) {
          case COMPLETE -> traffic.oldVersions();
          case ROLLED_BACK -> List.of(record.to());
          default -> List.of();
        };
    return record.withPhase(next.phase(), next.moveShare(), givenUp);
  }

  private void write(RolloutRecord next, String reason) {
    String key = pool.value();
    Write write =
        rowVersion == 0
            ? Write.insert(key, next.encode())
            : Write.replace(key, rowVersion, next.encode());
    send(
        RolloutRecord.TABLE,
        write,
        result -> {
          if (result instanceof WriteResult.Applied applied) {
            if (!reason.isEmpty()) {
              recordPhase(next, reason);
            }
            rowVersion = applied.version();
            isRecordOlder = false;
            isWriting = false;
            if (!next.isReported()) {
              report(next, rowVersion);
            }
            return true;
          }
          if (result instanceof WriteResult.Conflict conflict && conflict.current().isEmpty()) {
            // A restored store may have lost the row.
            rowVersion = 0;
          }
          return false;
        });
  }

  private void recordPhase(RolloutRecord record, String reason) {
    EventType type =
        switch (record.phase()) {
          case TRIAL -> EventType.ROLLOUT_STARTED;
          case MOVING -> EventType.ROLLOUT_MOVING;
          case COMPLETE -> EventType.ROLLOUT_COMPLETE;
          case ROLLED_BACK -> EventType.ROLLOUT_ROLLED_BACK;
        };
    events.record(
        type,
        pool.value(),
        Map.of(
            "to",
            record.to(),
            "order",
            record.id(),
            "elapsedMillis",
            Math.max(0, timer.epochMillis() - record.startedEpochMillis()),
            "reason",
            reason));
  }

  /** Writes the status, unless it is there already, and then notes that in the record. */
  private void report(RolloutRecord record, long recordVersion) {
    ObjectNode status = JSON.createObjectNode();
    status.put("state", record.phase().state());
    status.put("to", record.to());
    reportWith(record, recordVersion, status.toString(), 0);
  }

  private void reportWith(
      RolloutRecord record, long recordVersion, String status, long statusVersion) {
    String key = "rollout/" + pool.value();
    Write write =
        statusVersion == 0 ? Write.insert(key, status) : Write.replace(key, statusVersion, status);
    send(
        STATUS_TABLE,
        write,
        result -> {
          if (result instanceof WriteResult.Conflict conflict) {
            return conflict.current().isPresent()
                && reportOver(record, recordVersion, status, conflict.current().get());
          }
          if (result instanceof WriteResult.Applied) {
            noteReported(record, recordVersion);
            return true;
          }
          return false;
        });
  }

  private boolean reportOver(RolloutRecord record, long recordVersion, String status, Row current) {
    if (recordVersion != rowVersion || !traffic.isCurrent()) {
      return false;
    }
    if (current.value().equals(status)) {
      noteReported(record, recordVersion);
    } else {
      reportWith(record, recordVersion, status, current.version());
    }
    return true;
  }

  private void noteReported(RolloutRecord record, long recordVersion) {
    isWriting = false;
    if (recordVersion == rowVersion) {
      write(record.withReported(), "");
    }
  }

  @FunctionalInterface
  private interface ResultHandler {
    /** Handles a result; returns false if the write is to be repeated a little later. */
    boolean handle(WriteResult result);
  }

  private void send(String table, Write write, ResultHandler handler) {
    isWriting = true;
    CompletableFuture<Void> unused =
        writer
            .write(table, write)
            .thenAccept(
                result -> {
                  if (!handler.handle(result)) {
                    timer.after(
                        Duration.ofMillis(random.nextLong(MIN_RETRY_MILLIS, MAX_RETRY_MILLIS)),
                        () -> isWriting = false);
                  }
                });
  }
}
