package org.snipewick.pool;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiConsumer;
import java.util.function.BiFunction;
import java.util.function.Function;
import org.snipewick.event.EventLog;
import org.snipewick.event.EventType;
import org.snipewick.identity.EndpointId;
import org.snipewick.identity.InstanceId;
import org.snipewick.identity.PoolName;
import org.snipewick.identity.RequestId;
import org.snipewick.membership.Membership;
import org.snipewick.membership.MembershipView;
import org.snipewick.peer.PeerMessage;
import org.snipewick.peer.PeerNetwork;
import org.snipewick.time.TimerService;

/**
 * Runs the schedulers of the pools that this instance holds by the view of the members. All state
 * lives on the timer's thread; the public methods may be called from any thread.
 */
public final class PoolController {
  private static final Duration TICK = Duration.ofMillis(100);
  private static final long ENTRY_SILENCE_NANOS = 5_000_000_000L;

  private final Membership membership;
  private final PeerNetwork network;
  private final TimerService timer;
  private final DecisionEvents events;
  private final EventLog log;
  private final Function<PoolName, PoolScheduler> newScheduler;
  private final Map<PoolName, PoolScheduler> held = new HashMap<>();
  private final Map<PoolName, Map<EndpointId, EndpointStatus>> endpoints = new HashMap<>();
  private final Map<EndpointId, Long> reportNanos = new HashMap<>();
  private final Map<InstanceId, Long> heardNanos = new HashMap<>();
  private final long originNanos;
  private long heldSinceEpochMillis = Long.MIN_VALUE;
  private volatile Map<PoolName, PoolSummary> summaries = Map.of();
  private boolean ticking;

  private PoolController(
      Membership membership,
      PeerNetwork network,
      TimerService timer,
      EventLog log,
      Function<PoolName, PoolScheduler> newScheduler) {
    this.membership = requireNonNull(membership, "membership");
    this.network = requireNonNull(network, "network");
    this.timer = requireNonNull(timer, "timer");
    this.log = requireNonNull(log, "log");
    this.newScheduler = requireNonNull(newScheduler, "newScheduler");
    this.events = new DecisionEvents(log, membership.view().ownDomain());
    this.originNanos = timer.nanoTime();
  }

  /**
   * Creates a controller and starts it.
   *
   * @param membership members
   * @param network peer network, whose handlers of pool messages are set
   * @param timer timer
   * @param log event log
   * @param policy policy of all pools
   * @param settings settings of all schedulers
   * @return running controller
   */
  public static PoolController start(
      Membership membership,
      PeerNetwork network,
      TimerService timer,
      EventLog log,
      PoolPolicy policy,
      SchedulerSettings settings) {
    PoolController controller =
        new PoolController(
            membership, network, timer, log, pool -> PoolScheduler.of(policy, settings));
    controller.subscribe();
    return controller;
  }

  /**
   * Takes the status of an endpoint of the own failure domain.
   *
   * @param pool model or service that it serves
   * @param status status
   */
  public void endpointStatus(PoolName pool, EndpointStatus status) {
    onTimer(
        () -> {
          endpoints
              .computeIfAbsent(pool, ignored -> new LinkedHashMap<>())
              .put(status.id(), status);
          if (held.containsKey(pool)) {
            keepTicking();
            decide(pool, scheduler -> scheduler.endpoint(status, timer.nanoTime()));
          }
        });
  }

  /**
   * Notes that an endpoint has just reported, so that the age of its report can be told.
   *
   * @param endpoint endpoint
   */
  public void endpointReported(EndpointId endpoint) {
    onTimer(() -> reportNanos.put(endpoint, timer.nanoTime()));
  }

  /**
   * Forgets an endpoint that is no longer listed.
   *
   * @param pool model or service that it served
   * @param endpoint endpoint
   */
  public void endpointRemoved(PoolName pool, EndpointId endpoint) {
    onTimer(
        () -> {
          endpoints.getOrDefault(pool, new HashMap<>()).remove(endpoint);
          reportNanos.remove(endpoint);
          if (held.containsKey(pool)) {
            keepTicking();
            decide(pool, scheduler -> scheduler.endpointRemoved(endpoint, timer.nanoTime()));
          }
        });
  }

  /**
   * Corrects what is believed of an endpoint's prefix cache.
   *
   * @param pool model that it serves
   * @param endpoint endpoint
   * @param stored hashes of blocks that it stored
   * @param evicted hashes of blocks that it evicted
   */
  public void cacheEvents(
      PoolName pool, EndpointId endpoint, List<Long> stored, List<Long> evicted) {
    onTimer(
        () ->
            Optional.ofNullable(held.get(pool))
                .ifPresent(scheduler -> scheduler.cacheEvents(endpoint, stored, evicted)));
  }

  /**
   * Tells whether this instance schedules a pool of its domain, by the current view.
   *
   * @param pool pool
   * @return whether it is the scheduler
   */
  public boolean schedules(PoolName pool) {
    MembershipView view = membership.view();
    return Schedulers.of(view, view.ownDomain(), pool).filter(view.self()::equals).isPresent();
  }

  /**
   * Returns the state of the pools held here, at most a tick old.
   *
   * @return summaries by pool
   */
  public Map<PoolName, PoolSummary> summaries() {
    return summaries;
  }

  private void subscribe() {
    network.handle(PoolMessages.Offer.class, onMessage(this::offered));
    network.handle(PoolMessages.Report.class, onMessage(this::reported));
    network.handle(PoolMessages.Heartbeat.class, onMessage(this::heartbeat));
    membership.subscribe((before, after) -> viewChanged(after));
  }

  private <T extends PeerMessage>
      BiFunction<InstanceId, T, CompletableFuture<? extends PeerMessage>> onMessage(
          BiConsumer<InstanceId, T> handler) {
    return (from, message) -> {
      onTimer(() -> handler.accept(from, message));
      return CompletableFuture.completedFuture(null);
    };
  }

  private void onTimer(Runnable task) {
    var unused = timer.after(Duration.ZERO, task);
  }

  private void offered(InstanceId from, PoolMessages.Offer offer) {
    PoolName pool = offer.work().pool();
    heardNanos.put(from, timer.nanoTime());
    Optional<PoolScheduler> scheduler = scheduler(pool);
    if (scheduler.isEmpty()) {
      network.send(from, new PoolMessages.Missing(pool, List.of(offer.work().id())));
      return;
    }
    if (!scheduler.get().knows(offer.work().id())) {
      events.queued(offer.work());
    }
    decide(pool, asked -> asked.offer(offer.work(), timer.nanoTime()));
  }

  private void reported(InstanceId from, PoolMessages.Report report) {
    heardNanos.put(from, timer.nanoTime());
    Optional<PoolScheduler> scheduler = scheduler(report.pool());
    if (scheduler.isEmpty()) {
      return;
    }
    if (report.event() instanceof WorkEvent.Withdrawn) {
      events.withdrawn(report.pool(), report.event().request());
    }
    decide(report.pool(), asked -> asked.event(report.event(), timer.nanoTime()));
  }

  private void heartbeat(InstanceId from, PoolMessages.Heartbeat heartbeat) {
    heardNanos.put(from, timer.nanoTime());
    Optional<PoolScheduler> found = scheduler(heartbeat.pool());
    if (found.isEmpty()) {
      return;
    }
    PoolScheduler scheduler = found.get();
    final PoolSummary before = scheduler.summary(timer.nanoTime());
    List<RequestId> missing = new ArrayList<>();
    List<Decision> decisions = new ArrayList<>();
    for (long sequence : heartbeat.waiting()) {
      RequestId id = RequestId.of(from, heartbeat.incarnation(), sequence);
      if (!scheduler.isWaiting(id)) {
        missing.add(id);
      }
    }
    Set<RequestId> running = new HashSet<>();
    for (int i = 0; i < heartbeat.running().size(); i++) {
      RequestId id = RequestId.of(from, heartbeat.incarnation(), heartbeat.running().get(i));
      running.add(id);
      if (!scheduler.knows(id) || scheduler.isWaiting(id)) {
        missing.add(id);
      }
      int tokens = heartbeat.outputTokens().get(i);
      decisions.addAll(scheduler.event(new WorkEvent.Progress(id, tokens), timer.nanoTime()));
    }
    decisions.addAll(scheduler.reconcile(from, running, timer.nanoTime()));
    if (!missing.isEmpty()) {
      network.send(from, new PoolMessages.Missing(heartbeat.pool(), missing));
    }
    send(heartbeat.pool(), before, decisions);
  }

  /** Finds the scheduler of a pool, creating it if this instance has just become its holder. */
  private Optional<PoolScheduler> scheduler(PoolName pool) {
    if (!membership.hasStanding() || !schedules(pool)) {
      return Optional.empty();
    }
    dropOutdated();
    PoolScheduler scheduler = held.computeIfAbsent(pool, this::takeOver);
    keepTicking();
    return Optional.of(scheduler);
  }

  /** Forgets what was known before a time without standing, in which others may have granted. */
  private void dropOutdated() {
    long since = membership.standingSinceEpochMillis();
    if (since != heldSinceEpochMillis) {
      heldSinceEpochMillis = since;
      List.copyOf(held.keySet()).forEach(this::handOver);
    }
  }

  private PoolScheduler takeOver(PoolName pool) {
    PoolScheduler scheduler = newScheduler.apply(pool);
    scheduler.beginTakeover(timer.nanoTime());
    endpoints
        .getOrDefault(pool, Map.of())
        .values()
        .forEach(status -> scheduler.endpoint(status, timer.nanoTime()));
    log.record(EventType.POOL_TAKEN_OVER, pool.value());
    return scheduler;
  }

  private void viewChanged(MembershipView view) {
    List.copyOf(held.keySet()).stream().filter(pool -> !schedules(pool)).forEach(this::handOver);
    held.forEach(
        (pool, scheduler) ->
            scheduler.entries().stream()
                .filter(entry -> !view.isReachable(entry))
                .forEach(entry -> entryLost(pool, entry)));
  }

  private void entryLost(PoolName pool, InstanceId entry) {
    events.entryLost(pool, entry);
    decide(pool, scheduler -> scheduler.entryLost(entry, timer.nanoTime()));
  }

  private void handOver(PoolName pool) {
    Map<InstanceId, List<RequestId>> byEntry = new HashMap<>();
    for (WorkRequest work : held.remove(pool).drain()) {
      events.withdrawn(pool, work.id());
      byEntry.computeIfAbsent(work.id().instance(), ignored -> new ArrayList<>()).add(work.id());
    }
    byEntry.forEach(
        (entry, requests) -> network.send(entry, new PoolMessages.Missing(pool, requests)));
    keepTicking();
    log.record(EventType.POOL_HANDED_OVER, pool.value());
  }

  /** Resumes the ticks at the times that they would have had without the pause. */
  private void keepTicking() {
    if (!ticking) {
      ticking = true;
      long now = timer.nanoTime();
      long sinceTick = (now - originNanos) % TICK.toNanos();
      held.values().forEach(scheduler -> scheduler.resume(now - sinceTick));
      var unused = timer.after(TICK.minusNanos(sinceTick), this::tick);
    }
  }

  private void tick() {
    ticking = false;
    if (membership.hasStanding()) {
      tickAll(timer.nanoTime());
    }
    boolean restful =
        held.values().stream().allMatch(PoolScheduler::isIdle)
            && summaries.values().stream().allMatch(summary -> summary.shedTier().isEmpty());
    if (!restful) {
      ticking = true;
      var unused = timer.after(TICK, this::tick);
    }
  }

  private void tickAll(long now) {
    dropOutdated();
    Map<PoolName, PoolSummary> changed = new HashMap<>();
    held.forEach(
        (pool, scheduler) -> {
          scheduler.entries().stream()
              .filter(entry -> now - heardNanos.getOrDefault(entry, now) > ENTRY_SILENCE_NANOS)
              .forEach(entry -> entryLost(pool, entry));
          decide(pool, asked -> asked.tick(now));
          changed.put(pool, scheduler.summary(now));
        });
    summaries = Map.copyOf(changed);
  }

  /** Asks the scheduler of a pool for decisions, and tells them with what it knew before them. */
  private void decide(PoolName pool, Function<PoolScheduler, List<Decision>> step) {
    PoolScheduler scheduler = held.get(pool);
    PoolSummary before = scheduler.summary(timer.nanoTime());
    send(pool, before, step.apply(scheduler));
  }

  private void send(PoolName pool, PoolSummary before, List<Decision> decisions) {
    for (Decision decision : decisions) {
      Optional<EndpointStatus> endpoint =
          decision instanceof Decision.Grant grant
              ? held.get(pool).status(grant.endpoint())
              : Optional.empty();
      Optional<Duration> reportAge = endpoint.map(EndpointStatus::id).flatMap(this::reportAge);
      events.decided(pool, decision, new DecisionInputs(before, endpoint, reportAge));
      network.send(
          decision.request().instance(), new PoolMessages.Decided(pool, decision, endpoint));
    }
  }

  private Optional<Duration> reportAge(EndpointId endpoint) {
    return Optional.ofNullable(reportNanos.get(endpoint))
        .map(reported -> Duration.ofNanos(timer.nanoTime() - reported));
  }
}
