package org.snipewick.quarantine;

import static java.util.Objects.requireNonNull;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.snipewick.event.EventLog;
import org.snipewick.event.EventType;
import org.snipewick.identity.EndpointId;
import org.snipewick.identity.InstanceId;
import org.snipewick.store.MalformedRow;
import org.snipewick.store.MirrorListener;
import org.snipewick.store.RowChanges;
import org.snipewick.store.TableRow;
import org.snipewick.store.TableWriter;
import org.snipewick.time.Moment;
import org.snipewick.time.TimerService;

/**
 * Quarantine of one instance: records its evidence in a row of the store, merges it with that of
 * the other instances, and keeps the verdicts. The rows outlive the processes. Not thread-safe: all
 * calls and timers must run on one thread.
 */
public final class Quarantine implements MirrorListener {
  /** Table that contains one row per instance that has evidence, and rows of operators. */
  public static final String TABLE = "quarantine";

  /** A crash ends several requests of an instance within a few milliseconds. */
  private static final long MAX_WRITE_DELAY_MILLIS = 50;

  private static final Duration MIN_TIME_BETWEEN_WRITES = Duration.ofMillis(250);
  private static final long MAX_RETRY_DELAY_MILLIS = 500;
  private static final Duration EXPIRY_PERIOD = Duration.ofSeconds(10);

  private final InstanceId self;
  private final TableWriter writer;
  private final TimerService timer;
  private final EventLog events;
  private final RandomGenerator random;
  private final AnsweredParts answeredParts;
  private final Map<String, Evidence> evidenceOfOthers = new HashMap<>();

  /** Monotonic time of the latest broken response of each endpoint, in nanoseconds. */
  private final Map<EndpointId, Long> crashNanos = new HashMap<>();

  private Evidence own = Evidence.empty();
  private Verdicts verdicts = Verdicts.none();
  private Runnable listener = () -> {};
  private boolean isLoaded;
  private boolean isChanged;
  private boolean isWriting;
  private boolean isWriteLost;
  private boolean isRestored;

  private Quarantine(
      InstanceId self,
      TableWriter writer,
      TimerService timer,
      EventLog events,
      RandomGenerator random) {
    this.self = requireNonNull(self, "self");
    this.writer = requireNonNull(writer, "writer");
    this.timer = requireNonNull(timer, "timer");
    this.events = requireNonNull(events, "events");
    this.random = requireNonNull(random, "random");
    this.answeredParts = new AnsweredParts(timer);
  }

  /**
   * Creates a quarantine without evidence, which is to listen to a mirror of {@link #TABLE}.
   *
   * @param self name of this instance, the key of its row
   * @param writer access to the store
   * @param timer source of time
   * @param events log to which evidence and verdicts are written
   * @param random source of randomness for the delays of writes
   * @return quarantine
   */
  public static Quarantine of(
      InstanceId self,
      TableWriter writer,
      TimerService timer,
      EventLog events,
      RandomGenerator random) {
    Quarantine quarantine = new Quarantine(self, writer, timer, events, random);
    timer.every(EXPIRY_PERIOD, quarantine::removeExpired);
    return quarantine;
  }

  /**
   * Sets the listener to convictions.
   *
   * @param task task that runs shortly after parts have been convicted
   */
  public void onQuarantined(Runnable task) {
    listener = requireNonNull(task, "task");
  }

  /**
   * Returns whether the evidence of the other instances has been read.
   *
   * @return whether all rows were received once
   */
  public boolean isLoaded() {
    return isLoaded;
  }

  /**
   * Returns the part because of which a request must not be sent to an endpoint.
   *
   * @param parts parts of its prompt
   * @return first part in quarantine; empty if there is none
   */
  public Optional<QuarantinedPart> find(SharedParts parts) {
    return parts.ids().stream()
        .filter(verdicts.quarantined()::containsKey)
        .findFirst()
        .map(verdicts.quarantined()::get);
  }

  /**
   * Returns whether a request that was on a crashed endpoint must not be sent to another one.
   *
   * @param parts parts of its prompt
   * @return whether one of them is in quarantine or suspected
   */
  public boolean isSuspected(SharedParts parts) {
    return find(parts).isPresent() || parts.ids().stream().anyMatch(verdicts.suspected()::contains);
  }

  /**
   * Returns the number of parts in quarantine.
   *
   * @return number of parts
   */
  public int size() {
    return verdicts.quarantined().size();
  }

  /**
   * Records that an endpoint ended a connection before the response to a request was complete,
   * which is what a crash looks like.
   *
   * @param endpoint endpoint
   * @param startedEpochMillis start of its incarnation, in milliseconds since the Unix epoch
   * @param parts parts of the prompt of the request
   */
  public void recordBrokenResponse(
      EndpointId endpoint, long startedEpochMillis, SharedParts parts) {
    Map<String, Integer> depths = new HashMap<>();
    for (int depth = 0; depth < parts.ids().size(); depth++) {
      if (!answeredParts.contains(parts.ids().get(depth))) {
        depths.put(parts.ids().get(depth), depth);
      }
    }
    if (depths.isEmpty()) {
      return;
    }
    crashNanos.put(endpoint, timer.nanoTime());
    setOwn(
        own.withCrash(
            new EndpointCrash(endpoint, startedEpochMillis, timer.epochMillis(), depths),
            verdicts.quarantined().keySet()));
  }

  /**
   * Records a response of the endpoint itself, not of another one at its address. If the request
   * was placed after a supposed crash of the same incarnation, only connections had been lost.
   *
   * @param endpoint endpoint
   * @param startedEpochMillis start of its incarnation, in milliseconds since the Unix epoch
   * @param placedNanos monotonic time at which the request was placed, in nanoseconds
   */
  public void recordResponse(EndpointId endpoint, long startedEpochMillis, long placedNanos) {
    Long crashed = crashNanos.get(endpoint);
    if (crashed != null && placedNanos - crashed > 0) {
      crashNanos.remove(endpoint);
      Evidence changed = own.withoutCrash(endpoint, startedEpochMillis);
      if (!changed.equals(own)) {
        setOwn(changed);
      }
    }
  }

  /**
   * Records that an endpoint answered a request completely.
   *
   * @param parts parts of its prompt
   */
  public void recordAnswer(SharedParts parts) {
    answeredParts.add(parts);
    if (isSuspected(parts)) {
      update();
    }
  }

  @Override
  public void onRows(List<TableRow> rows, Moment sentAt) {
    if (!isRestored) {
      evidenceOfOthers.clear();
    }
    isRestored = false;
    for (TableRow row : rows) {
      Optional<Evidence> decoded = decode(row);
      if (!row.key().equals(self.value())) {
        decoded.ifPresent(
            evidence ->
                evidenceOfOthers.merge(
                    row.key(), evidence, (known, read) -> known.withEarlier(read, Set.of())));
      } else if (!isLoaded && decoded.isPresent()) {
        own = own.withEarlier(decoded.get(), Set.of());
      }
    }
    isLoaded = true;
    update();
    scheduleWrite();
  }

  /**
   * Keeps the evidence whose rows were lost in a restore of the store, and writes the own row
   * again.
   */
  @Override
  public void onNewEra() {
    isRestored = true;
    isChanged |= !own.equals(Evidence.empty());
  }

  @Override
  public void onChanges(RowChanges.Delta changes, Moment sentAt) {
    for (TableRow row : changes.written()) {
      if (!row.key().equals(self.value())) {
        decode(row)
            .ifPresentOrElse(
                evidence -> evidenceOfOthers.put(row.key(), evidence),
                () -> evidenceOfOthers.remove(row.key()));
      }
    }
    changes.removedKeys().forEach(evidenceOfOthers::remove);
    if (!changes.written().isEmpty() || !changes.removedKeys().isEmpty()) {
      update();
    }
  }

  private Optional<Evidence> decode(TableRow row) {
    try {
      return Optional.of(EvidenceCodec.decode(row.value()));
    } catch (IOException | RuntimeException malformed) {
      events.record(EventType.ROW_MALFORMED, row.key(), MalformedRow.details(row, malformed));
      return Optional.empty();
    }
  }

  private void setOwn(Evidence changed) {
    own = changed;
    isChanged = true;
    update();
    scheduleWrite();
  }

  private Collection<Evidence> all() {
    List<Evidence> all = new ArrayList<>(evidenceOfOthers.values());
    all.add(own);
    return all;
  }

  private void update() {
    Verdicts before = verdicts;
    verdicts = Verdicts.of(all(), timer.epochMillis());
    if (publishAnswers()) {
      verdicts = Verdicts.of(all(), timer.epochMillis());
    }
    recordChanges(before);
    if (!before.quarantined().keySet().containsAll(verdicts.quarantined().keySet())) {
      timer.after(Duration.ZERO, listener);
    }
  }

  /** Adds answers that clear accused parts to the evidence; returns whether there are any. */
  private boolean publishAnswers() {
    Set<String> accused = new HashSet<>(verdicts.suspected());
    accused.addAll(verdicts.quarantined().keySet());
    boolean isAdded = false;
    for (String part : accused) {
      Optional<Long> answered = answeredParts.answeredEpochMillis(part);
      if (answered.isPresent()
          && !answered.get().equals(own.answeredEpochMillis().get(part))
          && clears(part, answered.get())) {
        own = own.withAnswer(part, answered.get());
        isAdded = true;
      }
    }
    if (isAdded) {
      isChanged = true;
      scheduleWrite();
    }
    return isAdded;
  }

  private boolean clears(String part, long answeredEpochMillis) {
    return all().stream()
        .flatMap(evidence -> evidence.crashesWith(part))
        .anyMatch(crash -> Verdicts.isCleared(answeredEpochMillis, crash.epochMillis()));
  }

  private void recordChanges(Verdicts before) {
    verdicts
        .quarantined()
        .forEach(
            (id, part) -> {
              if (!before.quarantined().containsKey(id)) {
                record(EventType.PART_QUARANTINED, part);
              }
            });
    before
        .quarantined()
        .forEach(
            (id, part) -> {
              if (!verdicts.quarantined().containsKey(id)) {
                record(EventType.PART_RELEASED, part);
              }
            });
  }

  private void record(EventType type, QuarantinedPart part) {
    events.record(
        type,
        part.id(),
        Map.of(
            "crashes",
            part.crashes(),
            "endpoints",
            endpointsCrashedWith(part.id()),
            "sinceEpochMillis",
            part.sinceEpochMillis(),
            "untilEpochMillis",
            part.untilEpochMillis()));
  }

  private String endpointsCrashedWith(String part) {
    return String.join(
        ",",
        all().stream()
            .flatMap(evidence -> evidence.crashesWith(part))
            .map(crash -> crash.endpoint().value())
            .distinct()
            .limit(Evidence.MAX_CRASHES)
            .toList());
  }

  private void removeExpired() {
    if (own.crashes().isEmpty() && evidenceOfOthers.isEmpty()) {
      return;
    }
    long since = timer.epochMillis() - Verdicts.RETENTION.toMillis();
    own = own.since(since);
    evidenceOfOthers.replaceAll((key, evidence) -> evidence.since(since));
    evidenceOfOthers.values().removeIf(Evidence.empty()::equals);
    crashNanos.keySet().removeIf(endpoint -> !hasCrash(endpoint));
    update();
  }

  private boolean hasCrash(EndpointId endpoint) {
    return own.crashes().stream().anyMatch(crash -> crash.endpoint().equals(endpoint));
  }

  /** Writes the own row a little later; not before the row of an earlier process was read. */
  private void scheduleWrite() {
    if (isLoaded && isChanged && !isWriting) {
      isWriting = true;
      timer.after(Duration.ofMillis(random.nextLong(MAX_WRITE_DELAY_MILLIS)), this::write);
    }
  }

  private void write() {
    isChanged = false;
    writer
        .put(TABLE, self.value(), EvidenceCodec.encode(own))
        .whenComplete(
            (version, thrown) -> {
              recordAvailability(thrown);
              isChanged |= thrown != null;
              timer.after(
                  thrown == null
                      ? MIN_TIME_BETWEEN_WRITES
                      : Duration.ofMillis(random.nextLong(MAX_RETRY_DELAY_MILLIS)),
                  this::endWrite);
            });
  }

  private void endWrite() {
    isWriting = false;
    scheduleWrite();
  }

  private void recordAvailability(Throwable thrown) {
    boolean isLost = thrown != null;
    if (isLost != isWriteLost) {
      isWriteLost = isLost;
      events.record(isLost ? EventType.TABLE_LOST : EventType.TABLE_REGAINED, TABLE);
    }
  }
}
