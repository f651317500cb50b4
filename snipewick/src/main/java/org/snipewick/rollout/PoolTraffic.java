package org.snipewick.rollout;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.snipewick.identity.EndpointId;
import org.snipewick.placement.EndpointFilter;
import org.snipewick.registry.RegisteredEndpoint;
import org.snipewick.time.Moment;
import org.snipewick.time.TimerService;

/**
 * Decides to which version each request of a pool goes, by the phase of the latest order and the
 * counts of this instance alone. Not thread-safe.
 */
final class PoolTraffic {
  /**
   * During the trial the share is sent in bursts, to one part of the new endpoints after the other,
   * so that each of them has nearly its usual load for a while.
   */
  private static final long CYCLE_MILLIS = 2000;

  private static final long BURST_MILLIS = 400;

  private static final long NANOS_PER_MILLI = 1_000_000;

  /** Orders that were seen later than this after their start may have been counted by others. */
  private static final Duration START_TOLERANCE = Duration.ofMillis(1500);

  private static final RequestVersion HELD = new HeldRequest();

  private final RolloutBounds bounds;
  private final TimerService timer;
  private final RandomGenerator random;
  private final EndpointFilter usable = this::isUsable;
  private final Map<String, Moment> versionsSeen = new HashMap<>();
  private final Set<String> confirmedVersions = new HashSet<>();
  private final Map<EndpointId, Long> endpointsSeenNanos = new HashMap<>();
  private Collection<RegisteredEndpoint> endpoints = List.of();
  private Optional<RolloutOrder> order = Optional.empty();
  private Optional<RolloutRecord> record = Optional.empty();
  private Optional<Moment> recordProvedAt = Optional.empty();
  private Moment startedAt;
  private OrderTraffic traffic = new OrderTraffic(-1);
  private double trialSlack;
  private long allowedSinceNanos;
  private boolean wasAllowed;
  private double moveFraction;
  private boolean hadOldEndpoints;
  private boolean isSealed;
  private int outstanding;
  private int outstandingNew;

  PoolTraffic(RolloutBounds bounds, TimerService timer, RandomGenerator random) {
    this.bounds = requireNonNull(bounds, "bounds");
    this.timer = requireNonNull(timer, "timer");
    this.random = requireNonNull(random, "random");
    this.startedAt = Moment.now(timer);
  }

  /** Sets the order in the operator's row; empty if there is none. */
  void setOrder(Optional<RolloutOrder> latest) {
    order = latest;
  }

  Optional<RolloutOrder> order() {
    return order;
  }

  Optional<RolloutRecord> record() {
    return record;
  }

  /**
   * Records that the operator's rows were read. Versions that appeared before may be used if no
   * order names them.
   */
  void ordersRead(Moment sentAt) {
    versionsSeen.forEach(
        (version, seen) -> {
          if (sentAt.monotonicNanos() - seen.monotonicNanos() >= 0) {
            confirmedVersions.add(version);
          }
        });
  }

  /** Replaces the endpoints of the pool. */
  void setEndpoints(Collection<RegisteredEndpoint> listed) {
    boolean isFirst = endpoints.isEmpty();
    endpoints = List.copyOf(listed);
    Moment now = Moment.now(timer);
    for (RegisteredEndpoint endpoint : endpoints) {
      versionsSeen.putIfAbsent(endpoint.version(), now);
      endpointsSeenNanos.putIfAbsent(endpoint.id(), now.monotonicNanos());
      if (isFirst) {
        confirmedVersions.add(endpoint.version());
      }
    }
    endpointsSeenNanos.keySet().retainAll(endpoints.stream().map(RegisteredEndpoint::id).toList());
    noteOldEndpoints();
  }

  /**
   * Sets the record of the order in the store. A phase never goes back, as it would if the store is
   * restored from an older copy.
   *
   * @param latest record
   * @param fraction fraction of a request that this instance may send beyond its share, which is
   *     rounded down
   * @param instances number of instances, among which the slack of the trial is divided
   * @return false if the record is older than the one that is known
   */
  boolean setRecord(RolloutRecord latest, double fraction, int instances) {
    if (record.map(latest::isOlderThan).orElse(false)) {
      return false;
    }
    if (record.isEmpty() || record.get().id() != latest.id()) {
      Duration elapsed =
          Duration.ofMillis(
              Math.min(
                  latest.durationMillis(),
                  Math.max(0, timer.epochMillis() - latest.startedEpochMillis())));
      startedAt = Moment.now(timer).minus(elapsed);
      traffic = new OrderTraffic(latest.id());
      boolean hasSeenStart = elapsed.compareTo(START_TOLERANCE) < 0;
      moveFraction = fraction;
      trialSlack = fraction + (hasSeenStart ? (double) bounds.trialSlack() / instances : 0);
      outstandingNew = 0;
      isSealed = false;
      hadOldEndpoints = false;
    }
    boolean isMoveBeginning =
        latest.phase() == RolloutPhase.MOVING
            && record.map(before -> before.phase() != RolloutPhase.MOVING).orElse(true);
    record = Optional.of(latest);
    if (isMoveBeginning) {
      traffic.beginMove();
    }
    noteOldEndpoints();
    return true;
  }

  /** Records that the record was current at a moment. */
  void recordProved(Moment sentAt) {
    recordProvedAt = Optional.of(sentAt);
  }

  private void noteOldEndpoints() {
    hadOldEndpoints |= !oldVersions().isEmpty();
  }

  /** Returns the versions of accepting endpoints that may be used beside the new one. */
  List<String> oldVersions() {
    return endpoints.stream()
        .filter(endpoint -> !endpoint.isLeaving() && isOld(endpoint))
        .map(RegisteredEndpoint::version)
        .distinct()
        .toList();
  }

  private boolean isOld(RegisteredEndpoint endpoint) {
    return record
        .map(
            current ->
                !endpoint.version().equals(current.to())
                    && !current.givenUp().contains(endpoint.version()))
        .orElse(true);
  }

  /** Returns the accepting endpoints of the new version in an order that all instances share. */
  List<RegisteredEndpoint> targetEndpoints() {
    return endpoints.stream()
        .filter(endpoint -> !endpoint.isLeaving() && isTarget(endpoint))
        .sorted(Comparator.comparing(RegisteredEndpoint::id))
        .toList();
  }

  boolean isTarget(RegisteredEndpoint endpoint) {
    return record.map(current -> current.to().equals(endpoint.version())).orElse(false);
  }

  Duration elapsed() {
    return Moment.now(timer).since(startedAt);
  }

  /** Returns whether the phase of the order is known to be current. */
  boolean isCurrent() {
    Duration maxAge = bounds.rollbackTime().multipliedBy(7).dividedBy(10);
    return recordProvedAt
        .map(proved -> Moment.now(timer).since(proved).compareTo(maxAge) < 0)
        .orElse(false);
  }

  /** Returns whether a request for which the new version was not chosen may use an endpoint. */
  private boolean isUsable(RegisteredEndpoint endpoint) {
    if (!confirmedVersions.contains(endpoint.version())) {
      return false;
    }
    if (record.isEmpty() || record.get().phase() == RolloutPhase.COMPLETE) {
      return !isGivenUp(endpoint) && !isAwaitingRecord(endpoint.version());
    }
    if (record.get().phase() == RolloutPhase.ROLLED_BACK) {
      return isOld(endpoint) && !isAwaitingRecord(endpoint.version());
    }
    return isOld(endpoint) || (!hadOldEndpoints && isTarget(endpoint));
  }

  private boolean isGivenUp(RegisteredEndpoint endpoint) {
    return record.map(current -> current.givenUp().contains(endpoint.version())).orElse(false);
  }

  /** Returns whether an order names a version beside another one and has no record yet. */
  private boolean isAwaitingRecord(String version) {
    return order.isPresent()
        && order.get().to().equals(version)
        && record.map(current -> !current.isOf(order.get(), timer.epochMillis())).orElse(true)
        && endpoints.stream()
            .anyMatch(
                endpoint ->
                    !endpoint.isLeaving()
                        && !endpoint.version().equals(version)
                        && !isGivenUp(endpoint));
  }

  private boolean mayUseTarget(long id) {
    return record
        .map(
            current ->
                current.id() == id
                    && (current.phase() == RolloutPhase.COMPLETE
                        || (!current.phase().hasEnded() && isCurrent())))
        .orElse(false);
  }

  /** Endpoints of the new version that requests of a burst, or of the move, may use. */
  private record TargetFilter(PoolTraffic pool, long id, Set<EndpointId> group)
      implements EndpointFilter {
    TargetFilter {
      group = Set.copyOf(group);
    }

    @Override
    public boolean allows(RegisteredEndpoint endpoint) {
      return pool.mayUseTarget(id)
          ? pool.isTarget(endpoint) && (group.isEmpty() || group.contains(endpoint.id()))
          : pool.isUsable(endpoint);
    }
  }

  void countRequest() {
    traffic.countArrival();
  }

  /** Chooses the version for an attempt. */
  RequestVersion choose(String route, boolean isRetry) {
    if (record.isEmpty() || record.get().phase().hasEnded() || !isCurrent()) {
      return ticket(route, false, usable);
    }
    if (record.get().phase() == RolloutPhase.MOVING) {
      return chooseForMove(route);
    }
    Set<EndpointId> group = burstGroup();
    boolean isChosen =
        !isRetry && hasTrialAllowance() && !group.isEmpty() && (isUnused() || isDrawn());
    return isChosen ? expose(route, group) : ticket(route, false, usable);
  }

  private RequestVersion chooseForMove(String route) {
    boolean isUnlimited =
        record.get().moveShare() < 0 || elapsed().compareTo(record.get().duration()) >= 0;
    if (isUnlimited
        || traffic.isMoveAllowed(record.get().moveShare(), bounds.trialShare(), moveFraction)) {
      return expose(route, Set.of());
    }
    return isSealed ? HELD : ticket(route, false, usable);
  }

  private RequestVersion expose(String route, Set<EndpointId> group) {
    traffic.countExposure();
    wasAllowed = false;
    return ticket(route, true, new TargetFilter(this, record.get().id(), group));
  }

  private boolean hasTrialAllowance() {
    boolean isAllowed =
        traffic.exposed() < Math.floor(bounds.trialShare() * traffic.arrived() + trialSlack);
    if (isAllowed && !wasAllowed) {
      allowedSinceNanos = timer.nanoTime();
    }
    wasAllowed = isAllowed;
    return isAllowed;
  }

  /** Returns whether a burst is under way and this request is to be a part of it. */
  private boolean isDrawn() {
    return elapsed().toMillis() % CYCLE_MILLIS < BURST_MILLIS && random.nextDouble() < burstShare();
  }

  /** Returns whether the allowance was left over by a whole cycle, as in a pool of few requests. */
  private boolean isUnused() {
    return timer.nanoTime() - allowedSinceNanos > CYCLE_MILLIS * NANOS_PER_MILLI;
  }

  private double burstShare() {
    return Math.min(1, bounds.trialShare() * CYCLE_MILLIS / BURST_MILLIS);
  }

  /** Returns the endpoints that receive the share at the moment; empty after the deadline. */
  private Set<EndpointId> burstGroup() {
    long elapsedMillis = elapsed().toMillis();
    if (elapsedMillis >= record.get().durationMillis()) {
      return Set.of();
    }
    List<RegisteredEndpoint> targets = targetEndpoints();
    int size = Math.max(1, (int) Math.round(burstShare() * targets.size()));
    int first = (int) (elapsedMillis / CYCLE_MILLIS) * size;
    Set<EndpointId> group = new HashSet<>();
    for (int index = 0; index < Math.min(size, targets.size()); index++) {
      group.add(targets.get((first + index) % targets.size()).id());
    }
    return group;
  }

  /** Returns what this instance has seen of the order. */
  Evidence evidence() {
    int onOld = outstanding - outstandingNew;
    boolean isMoving = record.map(current -> current.phase() == RolloutPhase.MOVING).orElse(false);
    isSealed = isMoving && isCurrent() && (isSealed || onOld == 0);
    return traffic.evidence(onOld, isSealed, timer.nanoTime());
  }

  /** Returns whether nothing runs on old endpoints, and whether that is news since a report. */
  boolean isSealingDue(Optional<Evidence> reported) {
    return record.map(current -> current.phase() == RolloutPhase.MOVING).orElse(false)
        && outstanding == outstandingNew
        && isCurrent()
        && !(isSealed && reported.map(Evidence::isSealed).orElse(false));
  }

  private RequestTicket ticket(String route, boolean isNew, EndpointFilter filter) {
    outstanding++;
    if (isNew) {
      outstandingNew++;
    }
    return new RequestTicket(this, traffic, route, isNew, filter, timer.nanoTime());
  }

  /** Records the end of an attempt. */
  void ended(RequestTicket ticket, long durationNanos) {
    outstanding--;
    if (ticket.isNew() && ticket.orderId() == traffic.id()) {
      outstandingNew--;
    }
    if (!ticket.isNew()) {
      traffic.addResidence(durationNanos);
    }
  }

  /** Returns the counts of the latest order. */
  OrderTraffic traffic() {
    return traffic;
  }

  /** Returns whether an order is under way, for which responses are counted. */
  boolean isObserving() {
    return record.map(current -> !current.phase().hasEnded()).orElse(false);
  }

  /** Returns when an endpoint was first seen, but not before the order. */
  long seenNanos(RegisteredEndpoint endpoint) {
    long startedNanos = startedAt.monotonicNanos();
    return Math.max(startedNanos, endpointsSeenNanos.getOrDefault(endpoint.id(), startedNanos));
  }
}
