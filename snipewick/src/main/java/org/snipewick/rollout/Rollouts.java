package org.snipewick.rollout;

import static java.util.Objects.requireNonNull;

import com.codahale.metrics.MetricRegistry;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import org.snipewick.event.EventLog;
import org.snipewick.event.EventType;
import org.snipewick.identity.FailureDomain;
import org.snipewick.identity.InstanceId;
import org.snipewick.identity.PoolName;
import org.snipewick.registry.RegisteredEndpoint;
import org.snipewick.store.MalformedRow;
import org.snipewick.store.MirrorListener;
import org.snipewick.store.PollSchedule;
import org.snipewick.store.RowChanges;
import org.snipewick.store.TableMirror;
import org.snipewick.store.TableRow;
import org.snipewick.time.Moment;
import org.snipewick.time.TimerService;

/**
 * Rollouts at one instance: divides the traffic of each pool, writes what this instance sees, and
 * takes part in deciding if it is one of the instances of its failure domain that do. Not
 * thread-safe: all calls and timers must run on one thread.
 */
public final class Rollouts implements TrafficSplit {
  /** Table with the records of orders, to be mirrored with {@link #recordListener}. */
  public static final String RECORD_TABLE = RolloutRecord.TABLE;

  /**
   * Polls of the evidence. Only the instances that decide read it, and only during an order, so
   * that they call the store and do not follow a reader of the domain, which does not read it.
   */
  private static final PollSchedule EVIDENCE_POLLS =
      new PollSchedule(Duration.ofSeconds(1), Duration.ofMillis(100));

  private static final Duration TICK = Duration.ofMillis(50);

  /** Instances of each failure domain that decide; further ones follow if the record gets old. */
  private static final int DECIDING_PER_DOMAIN = 2;

  private static final Duration SILENCE_BEFORE_FURTHER = Duration.ofMillis(2200);
  private static final Duration SILENCE_PER_FURTHER = Duration.ofMillis(400);

  private static final long MIN_WRITE_PERIOD_MILLIS = 300;
  private static final long MAX_WRITE_PERIOD_MILLIS = 1000;
  private static final long WRITE_PERIOD_MILLIS_PER_INSTANCE = 2;

  /** The move is short, and a version that turns bad then must be found before it ends. */
  private static final int MOVE_PERIOD_DIVISOR = 3;

  private final InstanceId self;
  private final FailureDomain domain;
  private final RolloutBounds bounds;
  private final RolloutStore store;
  private final TimerService timer;
  private final EventLog events;
  private final RandomGenerator random;
  private final EvidenceView evidence;
  private final Map<PoolName, Pool> pools = new HashMap<>();
  private Members members;
  private Optional<TableMirror> evidenceMirror = Optional.empty();
  private Optional<Moment> recordsProvedAt = Optional.empty();
  private boolean isRecordRead;

  private Rollouts(
      InstanceId self,
      FailureDomain domain,
      RolloutBounds bounds,
      RolloutStore store,
      TimerService timer,
      EventLog events,
      RandomGenerator random) {
    this.self = requireNonNull(self, "self");
    this.domain = requireNonNull(domain, "domain");
    this.bounds = requireNonNull(bounds, "bounds");
    this.store = requireNonNull(store, "store");
    this.timer = requireNonNull(timer, "timer");
    this.events = requireNonNull(events, "events");
    this.random = requireNonNull(random, "random");
    this.evidence = new EvidenceView(timer, events);
    this.members = Members.unknown(self, domain);
  }

  /**
   * Starts to divide the traffic; {@link #recordListener} is to receive the records of orders.
   *
   * @param self name of this instance
   * @param domain its failure domain
   * @param bounds bounds of what a bad version may receive
   * @param store access to the store
   * @param timer source of time
   * @param events log of phases and malformed rows
   * @param metrics receives the number of orders under way
   * @param random source of randomness
   * @return running rollouts
   */
  public static Rollouts start(
      InstanceId self,
      FailureDomain domain,
      RolloutBounds bounds,
      RolloutStore store,
      TimerService timer,
      EventLog events,
      MetricRegistry metrics,
      RandomGenerator random) {
    Rollouts rollouts = new Rollouts(self, domain, bounds, store, timer, events, random);
    metrics.gauge("running_rollouts", () -> rollouts::running);
    metrics.gauge("rollout_requests_to_new_version", () -> rollouts::exposed);
    timer.every(TICK, rollouts::tick);
    return rollouts;
  }

  /**
   * Returns the listener to the records of orders.
   *
   * @return listener for one mirror of {@link #RECORD_TABLE}
   */
  public MirrorListener recordListener() {
    return new RecordListener();
  }

  /** State of one pool. */
  private final class Pool {
    private final PoolName name;
    private final PoolTraffic traffic = new PoolTraffic(bounds, timer, random);
    private final RolloutCoordinator coordinator;
    private Optional<Evidence> written = Optional.empty();
    private long writtenNanos;
    private boolean isWriting;

    private Pool(PoolName name) {
      this.name = name;
      this.coordinator =
          new RolloutCoordinator(
              name, traffic, bounds, store.conditionalWriter(), timer, events, random);
      recordsProvedAt.ifPresent(traffic::recordProved);
    }

    private boolean isActive() {
      return traffic.record().map(record -> !record.phase().hasEnded()).orElse(false);
    }

    /** Has the record, the status and the evidence of this instance written again. */
    private void storeRestored(boolean hasRecord) {
      coordinator.storeRestored(hasRecord);
      written = Optional.empty();
    }

    private void writeEvidence() {
      Duration period =
          traffic.record().map(RolloutRecord::phase).orElseThrow() == RolloutPhase.MOVING
              ? writePeriod().dividedBy(MOVE_PERIOD_DIVISOR)
              : writePeriod();
      boolean isDue = timer.nanoTime() - writtenNanos >= period.toNanos();
      boolean isNew =
          written.map(last -> last.id() != traffic.record().orElseThrow().id()).orElse(true);
      if (!isActive() || isWriting || !(isDue || isNew || traffic.isSealingDue(written))) {
        return;
      }
      Evidence seen = traffic.evidence();
      isWriting = true;
      writtenNanos = timer.nanoTime();
      CompletableFuture<Long> unused =
          store
              .writer()
              .put(Evidence.TABLE, EvidenceView.keyOf(name, self.value()), seen.encode())
              .whenComplete(
                  (version, thrown) -> {
                    isWriting = false;
                    if (thrown == null) {
                      written = Optional.of(seen);
                    }
                  });
    }
  }

  private Duration writePeriod() {
    return Duration.ofMillis(
        Math.min(
            MAX_WRITE_PERIOD_MILLIS,
            MIN_WRITE_PERIOD_MILLIS + WRITE_PERIOD_MILLIS_PER_INSTANCE * members.size()));
  }

  private Pool pool(PoolName name) {
    return pools.computeIfAbsent(name, Pool::new);
  }

  private int running() {
    return (int) pools.values().stream().filter(Pool::isActive).count();
  }

  private long exposed() {
    return pools.values().stream().mapToLong(pool -> pool.traffic.traffic().exposed()).sum();
  }

  /**
   * Returns whether the records of orders have been read.
   *
   * @return whether requests can be divided as other instances do
   */
  public boolean isLoaded() {
    return isRecordRead;
  }

  /**
   * Sets an order.
   *
   * @param order latest order for its pool
   */
  public void setOrder(RolloutOrder order) {
    Pool pool = pool(order.pool());
    pool.traffic.setOrder(Optional.of(order));
    pool.coordinator.orderSeen();
  }

  /**
   * Sets an order that a restored store has, unless a later one is known for its pool, which the
   * store has lost and the operator writes again.
   *
   * @param order order in the first read of the restored store
   */
  public void setRestoredOrder(RolloutOrder order) {
    PoolTraffic traffic = pool(order.pool()).traffic;
    boolean isKnownOrderLater =
        traffic.order().map(known -> known.rowVersion() > order.rowVersion()).orElse(false);
    boolean isRecordLater =
        traffic.record().map(known -> known.orderVersion() > order.rowVersion()).orElse(false);
    if (!isKnownOrderLater && !isRecordLater) {
      setOrder(order);
    }
  }

  /**
   * Removes the order of a pool.
   *
   * @param pool pool
   */
  public void removeOrder(PoolName pool) {
    pool(pool).traffic.setOrder(Optional.empty());
  }

  /**
   * Removes the orders of all other pools.
   *
   * @param ordered pools that have an order
   */
  public void retainOrders(Set<PoolName> ordered) {
    pools.forEach(
        (name, pool) -> {
          if (!ordered.contains(name)) {
            pool.traffic.setOrder(Optional.empty());
          }
        });
  }

  /**
   * Records that the orders were current at a moment.
   *
   * @param sentAt time at which the call that read them was sent
   */
  public void ordersRead(Moment sentAt) {
    pools.values().forEach(pool -> pool.traffic.ordersRead(sentAt));
  }

  /**
   * Replaces the list of endpoints.
   *
   * @param endpoints endpoints of all pools
   */
  public void setEndpoints(Collection<RegisteredEndpoint> endpoints) {
    Map<PoolName, List<RegisteredEndpoint>> byPool =
        endpoints.stream().collect(Collectors.groupingBy(RegisteredEndpoint::pool));
    byPool.keySet().forEach(this::pool);
    pools.forEach((name, pool) -> pool.traffic.setEndpoints(byPool.getOrDefault(name, List.of())));
  }

  /**
   * Sets the instances that serve the pools.
   *
   * @param instances failure domain of each instance, this one included
   */
  public void setMembers(Map<InstanceId, FailureDomain> instances) {
    members = Members.of(self, domain, instances);
  }

  @Override
  public void countRequest(PoolName pool) {
    pool(pool).traffic.countRequest();
  }

  @Override
  public RequestVersion choose(PoolName pool, String route, boolean isRetry) {
    return pool(pool).traffic.choose(route, isRetry);
  }

  private void tick() {
    boolean isDeciding = false;
    Set<String> names = members.names();
    for (Pool pool : pools.values()) {
      if (pool.traffic.record().isPresent()) {
        pool.writeEvidence();
      }
      if (pool.coordinator.hasWork() && isDecider(pool)) {
        isDeciding = true;
        startEvidenceMirror();
        pool.coordinator.advance(evidence, names);
      }
    }
    if (!isDeciding && evidenceMirror.isPresent() && running() == 0) {
      evidenceMirror.get().close();
      evidenceMirror = Optional.empty();
    }
  }

  private void startEvidenceMirror() {
    if (evidenceMirror.isEmpty()) {
      evidenceMirror =
          Optional.of(
              TableMirror.start(
                  store.reader(), Evidence.TABLE, EVIDENCE_POLLS, timer, events, random, evidence));
    }
  }

  /** Returns whether this instance is one of those that decide about a pool. */
  boolean isDecidingFor(PoolName pool) {
    return isDecider(pool(pool));
  }

  private boolean isDecider(Pool pool) {
    int rank = members.rankInDomain(pool.name);
    return rank < DECIDING_PER_DOMAIN
        || pool.coordinator
                .recordAge()
                .compareTo(
                    SILENCE_BEFORE_FURTHER.plus(
                        SILENCE_PER_FURTHER.multipliedBy(rank - DECIDING_PER_DOMAIN)))
            >= 0;
  }

  /** Passes the records of orders to the pools. */
  private final class RecordListener implements MirrorListener {
    /** Whether the store was restored and its rows have not been read since. */
    private boolean isRestored;

    @Override
    public void onNewEra() {
      isRestored = true;
    }

    @Override
    public void onRows(List<TableRow> rows, Moment sentAt) {
      rows.forEach(this::apply);
      if (isRestored) {
        isRestored = false;
        Set<String> keys = rows.stream().map(TableRow::key).collect(Collectors.toSet());
        pools.forEach((name, pool) -> pool.storeRestored(keys.contains(name.value())));
      }
      isRecordRead = true;
      prove(sentAt);
    }

    @Override
    public void onChanges(RowChanges.Delta changes, Moment sentAt) {
      changes.written().forEach(this::apply);
      prove(sentAt);
    }

    private void prove(Moment sentAt) {
      recordsProvedAt = Optional.of(sentAt);
      pools.values().forEach(pool -> pool.traffic.recordProved(sentAt));
    }

    private void apply(TableRow row) {
      try {
        RolloutRecord record =
            RolloutRecord.decode(new String(row.value(), StandardCharsets.UTF_8));
        PoolName name = PoolName.of(row.key());
        Pool pool = pool(name);
        pool.coordinator.recordSeen(row.version());
        if (!pool.traffic.setRecord(
            record,
            members.fraction(name),
            members.isKnown() ? members.size() : Integer.MAX_VALUE)) {
          pool.coordinator.recordIsOlder();
        }
      } catch (IOException | RuntimeException malformed) {
        events.record(EventType.ROW_MALFORMED, row.key(), MalformedRow.details(row, malformed));
      }
    }
  }
}
