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
 * Runs the schedulers of the pools that the membership view assigns to this instance. Thread-safe:
 * all state is confined to the timer's thread.
 */
public final class PoolController {
  private static final Duration TICK_INTERVAL = Duration.ofMillis(100);

  /** Time without a message after which an entry instance counts as failed. */
  private static final long ENTRY_TIMEOUT_NANOS = 5_000_000_000L;

  private final Membership membership;
  private final PeerNetwork network;
  private final TimerService timer;
  private final DecisionEvents events;
  private final EventLog log;
  private final Function<PoolName, PoolScheduler> newScheduler;
  private final Map<PoolName, PoolScheduler> schedulers = new HashMap<>();
  private final Map<PoolName, Map<EndpointId, EndpointStatus>> endpoints = new HashMap<>();
  private final Map<EndpointId, Long> lastReportNanos = new HashMap<>();
  private final Map<InstanceId, Long> lastMessageNanos = new HashMap<>();
  private final long tickOriginNanos;
  private long activeSinceEpochMillis = Long.MIN_VALUE;
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
    this.events = new DecisionEvents(log, membership.view().localDomain());
    this.tickOriginNanos = timer.nanoTime();
  }

  /**
   * Creates and starts a controller.
   *
   * @param membership membership, whose view assigns pools to instances
   * @param network peer network, on which the handlers of pool messages are registered
   * @param timer timer, whose thread runs all work of the controller
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
   * Updates the status of an endpoint in the local failure domain.
   *
   * @param pool pool that it serves, named after its model or service
   * @param status new status
   */
  public void updateEndpoint(PoolName pool, EndpointStatus status) {
    runOnTimer(
        () -> {
          endpoints
              .computeIfAbsent(pool, ignored -> new LinkedHashMap<>())
              .put(status.id(), status);
          if (schedulers.containsKey(pool)) {
            resumeTicking();
            decide(pool, scheduler -> scheduler.updateEndpoint(status, timer.nanoTime()));
          }
        });
  }

  /**
   * Records that a load report of an endpoint has just arrived, so that decisions can log its age.
   *
   * @param endpoint endpoint
   */
  public void recordLoadReport(EndpointId endpoint) {
    runOnTimer(() -> lastReportNanos.put(endpoint, timer.nanoTime()));
  }

  /**
   * Removes an endpoint that no longer serves a pool in the local failure domain.
   *
   * @param pool pool that it served
   * @param endpoint endpoint
   */
  public void removeEndpoint(PoolName pool, EndpointId endpoint) {
    runOnTimer(
        () -> {
          endpoints.getOrDefault(pool, new HashMap<>()).remove(endpoint);
          lastReportNanos.remove(endpoint);
          if (schedulers.containsKey(pool)) {
            resumeTicking();
            decide(pool, scheduler -> scheduler.removeEndpoint(endpoint, timer.nanoTime()));
          }
        });
  }

  /**
   * Corrects the modelled content of an endpoint's prefix cache. Has no effect if this instance
   * does not run the scheduler of the pool.
   *
   * @param pool pool that it serves
   * @param endpoint endpoint
   * @param stored hashes of blocks that it stored
   * @param evicted hashes of blocks that it evicted
   */
  public void applyCacheEvents(
      PoolName pool, EndpointId endpoint, List<Long> stored, List<Long> evicted) {
    runOnTimer(
        () ->
            Optional.ofNullable(schedulers.get(pool))
                .ifPresent(scheduler -> scheduler.applyCacheEvents(endpoint, stored, evicted)));
  }

  /**
   * Returns whether this instance is the scheduler of a pool of its domain, by the current
   * membership view.
   *
   * @param pool pool
   * @return true if it is the scheduler
   */
  public boolean isSchedulerOf(PoolName pool) {
    MembershipView view = membership.view();
    return Schedulers.of(view, view.localDomain(), pool).filter(view.self()::equals).isPresent();
  }

  /**
   * Returns summaries of the pools scheduled here, as of the last tick. They are updated every 100
   * ms, except while all schedulers are idle or this instance is inactive.
   *
   * @return immutable map of summaries by pool
   */
  public Map<PoolName, PoolSummary> summaries() {
    return summaries;
  }

  private void subscribe() {
    network.handle(PoolMessages.Offer.class, handleOnTimer(this::onOffer));
    network.handle(PoolMessages.Report.class, handleOnTimer(this::onReport));
    network.handle(PoolMessages.Heartbeat.class, handleOnTimer(this::onHeartbeat));
    membership.subscribe((before, after) -> onViewChanged(after));
  }

  private <T extends PeerMessage>
      BiFunction<InstanceId, T, CompletableFuture<? extends PeerMessage>> handleOnTimer(
          BiConsumer<InstanceId, T> handler) {
    return (from, message) -> {
      runOnTimer(() -> handler.accept(from, message));
      return CompletableFuture.completedFuture(null);
    };
  }

  private void runOnTimer(Runnable task) {
    var unused = timer.after(Duration.ZERO, task);
  }

  private void onOffer(InstanceId from, PoolMessages.Offer offer) {
    PoolName pool = offer.work().pool();
    lastMessageNanos.put(from, timer.nanoTime());
    Optional<PoolScheduler> scheduler = schedulerIfResponsible(pool);
    if (scheduler.isEmpty()) {
      network.send(from, new PoolMessages.UnknownRequests(pool, List.of(offer.work().id())));
      return;
    }
    if (!scheduler.get().hasRequest(offer.work().id())) {
      events.onQueued(offer.work());
    }
    decide(pool, target -> target.offer(offer.work(), timer.nanoTime()));
  }

  private void onReport(InstanceId from, PoolMessages.Report report) {
    lastMessageNanos.put(from, timer.nanoTime());
    Optional<PoolScheduler> scheduler = schedulerIfResponsible(report.pool());
    if (scheduler.isEmpty()) {
      return;
    }
    if (report.event() instanceof WorkEvent.Withdrawn) {
      events.onWithdrawn(report.pool(), report.event().request());
    }
    decide(report.pool(), target -> target.handleEvent(report.event(), timer.nanoTime()));
  }

  private void onHeartbeat(InstanceId from, PoolMessages.Heartbeat heartbeat) {
    lastMessageNanos.put(from, timer.nanoTime());
    Optional<PoolScheduler> found = schedulerIfResponsible(heartbeat.pool());
    if (found.isEmpty()) {
      return;
    }
    PoolScheduler scheduler = found.get();
    final PoolSummary before = scheduler.summary(timer.nanoTime());
    List<RequestId> unknown = new ArrayList<>();
    List<Decision> decisions = new ArrayList<>();
    for (long sequence : heartbeat.waiting()) {
      RequestId id = RequestId.of(from, heartbeat.incarnation(), sequence);
      if (!scheduler.isWaiting(id)) {
        unknown.add(id);
      }
    }
    Set<RequestId> running = new HashSet<>();
    for (int i = 0; i < heartbeat.running().size(); i++) {
      RequestId id = RequestId.of(from, heartbeat.incarnation(), heartbeat.running().get(i));
      running.add(id);
      if (!scheduler.hasRequest(id) || scheduler.isWaiting(id)) {
        unknown.add(id);
      }
      int tokens = heartbeat.outputTokens().get(i);
      decisions.addAll(scheduler.handleEvent(new WorkEvent.Progress(id, tokens), timer.nanoTime()));
    }
    decisions.addAll(scheduler.reconcile(from, running, timer.nanoTime()));
    if (!unknown.isEmpty()) {
      network.send(from, new PoolMessages.UnknownRequests(heartbeat.pool(), unknown));
    }
    send(heartbeat.pool(), before, decisions);
  }

  /**
   * Returns the scheduler of a pool, which is created if this instance has just become responsible
   * for the pool; empty if this instance is inactive or not responsible.
   */
  private Optional<PoolScheduler> schedulerIfResponsible(PoolName pool) {
    if (!membership.isActive() || !isSchedulerOf(pool)) {
      return Optional.empty();
    }
    handOverAfterInactivity();
    PoolScheduler scheduler = schedulers.computeIfAbsent(pool, this::takeOver);
    resumeTicking();
    return Optional.of(scheduler);
  }

  /**
   * Hands over all pools if this instance was inactive since they were taken over: other instances
   * may have granted requests in the meantime.
   */
  private void handOverAfterInactivity() {
    long activeSince = membership.activeSinceEpochMillis();
    if (activeSince != activeSinceEpochMillis) {
      activeSinceEpochMillis = activeSince;
      List.copyOf(schedulers.keySet()).forEach(this::handOver);
    }
  }

  private PoolScheduler takeOver(PoolName pool) {
    PoolScheduler scheduler = newScheduler.apply(pool);
    scheduler.beginTakeover(timer.nanoTime());
    endpoints
        .getOrDefault(pool, Map.of())
        .values()
        .forEach(status -> scheduler.updateEndpoint(status, timer.nanoTime()));
    log.record(EventType.POOL_TAKEN_OVER, pool.value());
    return scheduler;
  }

  private void onViewChanged(MembershipView view) {
    List.copyOf(schedulers.keySet()).stream()
        .filter(pool -> !isSchedulerOf(pool))
        .forEach(this::handOver);
    schedulers.forEach(
        (pool, scheduler) ->
            scheduler.entryInstances().stream()
                .filter(entry -> !view.isReachable(entry))
                .forEach(entry -> onEntryInstanceFailed(pool, entry)));
  }

  private void onEntryInstanceFailed(PoolName pool, InstanceId entry) {
    events.onEntryInstanceFailed(pool, entry);
    decide(pool, scheduler -> scheduler.removeEntryInstance(entry, timer.nanoTime()));
  }

  private void handOver(PoolName pool) {
    Map<InstanceId, List<RequestId>> byEntry = new HashMap<>();
    for (WorkRequest work : schedulers.remove(pool).drain()) {
      events.onWithdrawn(pool, work.id());
      byEntry.computeIfAbsent(work.id().instance(), ignored -> new ArrayList<>()).add(work.id());
    }
    byEntry.forEach(
        (entry, requests) -> network.send(entry, new PoolMessages.UnknownRequests(pool, requests)));
    resumeTicking();
    log.record(EventType.POOL_HANDED_OVER, pool.value());
  }

  /** Resumes the ticks after a pause, at whole tick intervals since the controller was created. */
  private void resumeTicking() {
    if (!ticking) {
      ticking = true;
      long nowNanos = timer.nanoTime();
      long sinceTickNanos = (nowNanos - tickOriginNanos) % TICK_INTERVAL.toNanos();
      schedulers.values().forEach(scheduler -> scheduler.resume(nowNanos - sinceTickNanos));
      var unused = timer.after(TICK_INTERVAL.minusNanos(sinceTickNanos), this::tick);
    }
  }

  private void tick() {
    ticking = false;
    if (membership.isActive()) {
      tickAll(timer.nanoTime());
    }
    boolean idle =
        schedulers.values().stream().allMatch(PoolScheduler::isIdle)
            && summaries.values().stream().allMatch(summary -> summary.shedTier().isEmpty());
    if (!idle) {
      ticking = true;
      var unused = timer.after(TICK_INTERVAL, this::tick);
    }
  }

  private void tickAll(long nowNanos) {
    handOverAfterInactivity();
    Map<PoolName, PoolSummary> changed = new HashMap<>();
    schedulers.forEach(
        (pool, scheduler) -> {
          scheduler.entryInstances().stream()
              .filter(
                  entry ->
                      nowNanos - lastMessageNanos.getOrDefault(entry, nowNanos)
                          > ENTRY_TIMEOUT_NANOS)
              .forEach(entry -> onEntryInstanceFailed(pool, entry));
          decide(pool, target -> target.tick(nowNanos));
          changed.put(pool, scheduler.summary(nowNanos));
        });
    summaries = Map.copyOf(changed);
  }

  /**
   * Applies a step to the scheduler of a pool, then logs and sends its decisions along with the
   * summary from before the step.
   */
  private void decide(PoolName pool, Function<PoolScheduler, List<Decision>> step) {
    PoolScheduler scheduler = schedulers.get(pool);
    PoolSummary before = scheduler.summary(timer.nanoTime());
    send(pool, before, step.apply(scheduler));
  }

  private void send(PoolName pool, PoolSummary before, List<Decision> decisions) {
    for (Decision decision : decisions) {
      Optional<EndpointStatus> endpoint =
          decision instanceof Decision.Grant grant
              ? schedulers.get(pool).status(grant.endpoint())
              : Optional.empty();
      Optional<Duration> reportAge = endpoint.map(EndpointStatus::id).flatMap(this::reportAge);
      events.onDecided(pool, decision, new DecisionInputs(before, endpoint, reportAge));
      network.send(
          decision.request().instance(), new PoolMessages.Decided(pool, decision, endpoint));
    }
  }

  private Optional<Duration> reportAge(EndpointId endpoint) {
    return Optional.ofNullable(lastReportNanos.get(endpoint))
        .map(reported -> Duration.ofNanos(timer.nanoTime() - reported));
  }
}
