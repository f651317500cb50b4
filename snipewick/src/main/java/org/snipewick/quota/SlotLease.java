package org.snipewick.quota;

import static java.nio.charset.StandardCharsets.UTF_8;
import static java.util.Objects.requireNonNull;

import java.io.IOException;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.snipewick.event.EventLog;
import org.snipewick.event.EventType;
import org.snipewick.identity.InstanceId;
import org.snipewick.store.ConditionalTableWriter;
import org.snipewick.store.EraTracker;
import org.snipewick.store.MalformedRow;
import org.snipewick.store.Row;
import org.snipewick.store.TableRow;
import org.snipewick.store.Write;
import org.snipewick.store.WriteResult;
import org.snipewick.time.Moment;
import org.snipewick.time.TimerService;

/**
 * Lease of one slot. It ends on the clocks of its holder before another instance can have observed
 * the same version of its row for the whole duration. After a restore of the store from an older
 * copy, the holder grants nothing until it has written its record in the new era; anybody else
 * waits the whole duration and counts the whole slot as granted. Not thread-safe.
 */
final class SlotLease {
  static final Duration DURATION = Duration.ofSeconds(6);

  /**
   * Time from the request for a grant in which it may be spent; includes the time until the reply
   * arrives.
   */
  static final Duration GRANT_LIFETIME = Duration.ofMillis(400);

  private static final Duration CLOCK_MARGIN = Duration.ofMillis(500);
  private static final Duration RENEWAL_PERIOD = Duration.ofSeconds(1);
  private static final Duration IDLE_RENEWAL_PERIOD = Duration.ofSeconds(2);
  private static final Duration MIN_WRITE_PERIOD = Duration.ofMillis(50);
  private static final long ABSENT = 0;

  private final int slot;
  private final InstanceId self;
  private final long incarnation;
  private final Duration window;
  private final ConditionalTableWriter writer;
  private final TimerService timer;
  private final EventLog events;
  private final SlotGrants.Capacities capacities;
  private final EraTracker eras;

  private long version = ABSENT;

  /** Era of the store in which the version was read or written. */
  private long era = EraTracker.NO_ERA;

  private long observedNanos;
  private Optional<SlotRecord> observed = Optional.empty();
  private boolean isObserved;
  private boolean isMalformed;

  private Optional<SlotGrants> grants = Optional.empty();
  private Optional<Moment> renewedAt = Optional.empty();

  /** Era of the store in which the lease was last confirmed. */
  private long confirmedEra = EraTracker.NO_ERA;

  private long writtenNanos;
  private boolean isWriting;

  SlotLease(
      int slot,
      InstanceId self,
      long incarnation,
      Duration window,
      ConditionalTableWriter writer,
      TimerService timer,
      EventLog events,
      SlotGrants.Capacities capacities,
      EraTracker eras) {
    this.slot = slot;
    this.self = requireNonNull(self, "self");
    this.incarnation = incarnation;
    this.window = requireNonNull(window, "window");
    this.writer = requireNonNull(writer, "writer");
    this.timer = requireNonNull(timer, "timer");
    this.events = requireNonNull(events, "events");
    this.capacities = requireNonNull(capacities, "capacities");
    this.eras = requireNonNull(eras, "eras");
  }

  int slot() {
    return slot;
  }

  String key() {
    return Integer.toString(slot);
  }

  /** Returns whether this process has taken the slot and no other one has since. */
  boolean isMine() {
    return grants.isPresent();
  }

  /** Returns the grants of the slot if the lease is valid now. */
  Optional<SlotGrants> held() {
    return grants.filter(ignored -> confirmedEra == eras.newest() && isTimeLeft());
  }

  private boolean isTimeLeft() {
    return renewedAt
        .filter(at -> isWithin(Moment.now(timer).since(at), DURATION.minus(CLOCK_MARGIN)))
        .isPresent();
  }

  /** Returns whether this process took the slot in an earlier era and has to read its row again. */
  boolean isOfEarlierEra() {
    return isMine() && era != eras.newest();
  }

  private static boolean isWithin(Duration duration, Duration limit) {
    return duration.compareTo(limit) < 0;
  }

  /** Records the row of the slot as read from the store in its newest era. */
  void observe(Optional<TableRow> row, long readEra) {
    if (isWriting) {
      return;
    }
    if (isMine()) {
      if (readEra != era) {
        continueInNewEra(row, readEra);
      }
      return;
    }
    long read = row.map(TableRow::version).orElse(ABSENT);
    if (!isObserved || read != version || readEra != era) {
      isObserved = true;
      version = read;
      era = readEra;
      observedNanos = timer.nanoTime();
      isMalformed = false;
      observed = row.flatMap(this::decode);
    }
  }

  /**
   * Writes the own ledger in a new era. As long as the lease lasts, nobody else can have taken the
   * slot: before the restore they had to wait for its end, and after it for a whole duration.
   */
  private void continueInNewEra(Optional<TableRow> row, long readEra) {
    boolean isTaken =
        row.flatMap(this::decode)
            .filter(record -> record.era() == readEra && !isOwn(record))
            .isPresent();
    isMalformed = false;
    if (isTaken || !isTimeLeft()) {
      lose("store was restored");
      observe(row, readEra);
    } else {
      version = row.map(TableRow::version).orElse(ABSENT);
      era = readEra;
      write(grants.get());
    }
  }

  private boolean isOwn(SlotRecord record) {
    return record.holder().equals(self.value()) && record.incarnation() == incarnation;
  }

  private Optional<SlotRecord> decode(TableRow row) {
    try {
      return Optional.of(SlotRecord.decode(row.value()));
    } catch (IOException | RuntimeException malformed) {
      isMalformed = true;
      events.record(EventType.ROW_MALFORMED, row.key(), MalformedRow.details(row, malformed));
      return Optional.empty();
    }
  }

  /**
   * Returns whether this instance wrote the row last, and this process does not use the slot. A row
   * of an earlier era is nobody's, as another instance may have replaced it before the restore.
   */
  boolean isOfThisInstance() {
    return observed
        .filter(record -> record.era() == era)
        .filter(record -> record.holder().equals(self.value()))
        .filter(record -> record.incarnation() <= incarnation)
        .isPresent();
  }

  /** Returns whether nobody can hold the slot now. */
  boolean isVacant() {
    boolean isReleased = isBounded() && observed.map(SlotRecord::isReleased).orElse(true);
    return isObserved && (isReleased || timer.nanoTime() - observedNanos >= DURATION.toNanos());
  }

  /** Returns whether the row bounds what was granted out of the slot. */
  private boolean isBounded() {
    return !isMalformed
        && observed.map(record -> record.era() == era).orElseGet(() -> !eras.mayHaveLostRows());
  }

  /** Takes the slot; must be vacant or of this instance. */
  void take() {
    if (isMine() || isWriting) {
      return;
    }
    long now = timer.nanoTime();
    SlotGrants taken;
    if (!isBounded()) {
      // What a malformed or lost record bounded is unknown: the whole part counts as granted.
      SlotRecord all = new SlotRecord("", 0, 1, Map.of());
      taken = SlotGrants.restore(all, window, GRANT_LIFETIME, now);
    } else {
      taken =
          observed
              .map(record -> SlotGrants.restore(record, window, GRANT_LIFETIME, now))
              .orElseGet(() -> SlotGrants.empty(window));
    }
    write(taken);
  }

  /** Renews the lease and records the grants, if it is time to. */
  void renewIfDue() {
    if (grants.isEmpty() || isOfEarlierEra()) {
      return;
    }
    if (confirmedEra != era && !isTimeLeft()) {
      lose("lease ended before it was confirmed in the new era");
      return;
    }
    Duration sinceWrite = Duration.ofNanos(timer.nanoTime() - writtenNanos);
    Duration period =
        grants.get().needsRecord() || confirmedEra != era
            ? MIN_WRITE_PERIOD
            : grants.get().isChanged() ? RENEWAL_PERIOD : IDLE_RENEWAL_PERIOD;
    if (!isWithin(sinceWrite, period)) {
      write(grants.get());
    }
  }

  /** Gives the slot up; nothing more is granted out of it. */
  void release() {
    if (isOfEarlierEra() || (isMine() && confirmedEra != era)) {
      lose("stopped before the lease was confirmed in the new era");
    }
    grants.ifPresent(
        released -> {
          SlotRecord record = released.finalRecord(capacities, timer.nanoTime()).inEra(era);
          CompletableFuture<WriteResult> unused = writer.write(QuotaSlots.TABLE, write(record));
          lose("released");
        });
  }

  private Write write(SlotRecord record) {
    return version == ABSENT
        ? Write.insert(key(), record.encode())
        : Write.replace(key(), version, record.encode());
  }

  private void write(SlotGrants written) {
    if (isWriting) {
      return;
    }
    isWriting = true;
    writtenNanos = timer.nanoTime();
    Moment sentAt = Moment.now(timer);
    SlotRecord record =
        written.nextRecord(self.value(), incarnation, capacities, writtenNanos).inEra(era);
    CompletableFuture<Void> unused =
        writer
            .write(QuotaSlots.TABLE, write(record))
            .thenAccept(
                result -> {
                  isWriting = false;
                  onResult(result, written, sentAt);
                });
  }

  private void onResult(WriteResult result, SlotGrants written, Moment sentAt) {
    if (result instanceof WriteResult.Applied applied && applied.era() != era) {
      // The version that it was conditional on may be that of another row of the new era.
      lose("confirmed in another era");
      isObserved = false;
    } else if (result instanceof WriteResult.Applied applied) {
      version = applied.version();
      written.onRecorded();
      renewedAt = Optional.of(sentAt);
      confirmedEra = era;
      if (grants.isEmpty()) {
        grants = Optional.of(written);
        written.permits().start(timer.nanoTime());
        events.record(EventType.LEASE_TAKEN, subject(), Map.of("version", version));
      }
    } else if (result instanceof WriteResult.Conflict conflict) {
      onConflict(conflict.current(), conflict.era());
    }
  }

  /** Adopts the version of an earlier write of this process whose response was lost. */
  private void onConflict(Optional<Row> current, long conflictEra) {
    if (conflictEra != era) {
      isObserved = false;
      return;
    }
    Optional<TableRow> row =
        current.map(
            found -> new TableRow("", found.key(), found.value().getBytes(UTF_8), found.version()));
    Optional<SlotRecord> record = row.flatMap(this::decode);
    boolean isOwnOfEra = record.filter(this::isOwn).filter(own -> own.era() == era).isPresent();
    if (isOwnOfEra && grants.isPresent()) {
      version = row.get().version();
      return;
    }
    lose("taken by another instance");
    observe(row, era);
  }

  private void lose(String cause) {
    if (grants.isPresent()) {
      grants = Optional.empty();
      renewedAt = Optional.empty();
      isObserved = false;
      events.record(EventType.LEASE_LOST, subject(), Map.of("cause", cause));
    }
  }

  private String subject() {
    return "quota-slot/" + slot;
  }
}
