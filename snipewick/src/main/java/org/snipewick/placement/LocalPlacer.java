package org.snipewick.placement;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.snipewick.identity.EndpointId;
import org.snipewick.identity.PoolName;
import org.snipewick.registry.RegisteredEndpoint;
import org.snipewick.time.TimerService;

/** Places requests by the queues of this instance, one for each pool. Not thread-safe. */
public final class LocalPlacer implements RequestPlacer {
  /**
   * Time between placement decisions while requests wait. It bounds the delay until slots that were
   * freed at an endpoint by peers, and endpoints whose pause has ended, are used.
   */
  private static final Duration PLACEMENT_PERIOD = Duration.ofMillis(20);

  private final Supplier<PoolPlacement> emptyPools;
  private final TimerService timer;
  private final Map<PoolName, PoolPlacement> pools = new HashMap<>();
  private final Map<PoolName, Map<String, PlacementListener>> listeners = new HashMap<>();
  private int instances = 1;
  private double remoteCostFactor = PoolPlacement.DEFAULT_REMOTE_COST_FACTOR;
  private boolean isDecisionScheduled;

  private LocalPlacer(Supplier<PoolPlacement> emptyPools, TimerService timer) {
    this.emptyPools = requireNonNull(emptyPools, "emptyPools");
    this.timer = requireNonNull(timer, "timer");
  }

  /**
   * Creates a placer without endpoints.
   *
   * @param emptyPools creates the queue of a pool, without endpoints
   * @param timer source of time
   * @return placer
   */
  public static LocalPlacer of(Supplier<PoolPlacement> emptyPools, TimerService timer) {
    return new LocalPlacer(emptyPools, timer);
  }

  /**
   * Returns the queue of a pool; creates an empty one if there is none.
   *
   * @param name name of the pool
   * @return queue
   */
  public PoolPlacement pool(PoolName name) {
    return pools.computeIfAbsent(
        name,
        pool -> {
          PoolPlacement created = emptyPools.get();
          created.setInstances(instances);
          created.setRemoteCostFactor(remoteCostFactor);
          return created;
        });
  }

  /**
   * Returns the names of all pools that had endpoints or requests.
   *
   * @return names
   */
  public List<PoolName> names() {
    return List.copyOf(pools.keySet());
  }

  /**
   * Sets the number of instances that share the endpoints, this one included.
   *
   * @param count number of instances
   */
  public void setInstances(int count) {
    instances = count;
    pools.values().forEach(pool -> pool.setInstances(count));
  }

  /**
   * Sets the price of requests to other failure domains.
   *
   * @param factor factor by which endpoints there cost more than local ones, at least 1
   */
  public void setRemoteCostFactor(double factor) {
    remoteCostFactor = factor;
    pools.values().forEach(pool -> pool.setRemoteCostFactor(factor));
  }

  /**
   * Replaces the endpoints of all pools and decides about all waiting requests.
   *
   * @param endpoints all listed endpoints
   */
  public void updateEndpoints(Collection<RegisteredEndpoint> endpoints) {
    Map<PoolName, List<RegisteredEndpoint>> byPool =
        endpoints.stream().collect(Collectors.groupingBy(RegisteredEndpoint::pool));
    byPool.keySet().forEach(this::pool);
    pools.forEach((name, pool) -> pool.update(byPool.getOrDefault(name, List.of())));
    names().forEach(this::decide);
  }

  /**
   * Sets the number of requests that the peers have in flight at each endpoint.
   *
   * @param requests sum over the reporting peers by endpoint
   * @param isComplete whether all peers report
   * @param validity time for which the sums count
   */
  public void setPeersInFlight(
      Map<EndpointId, Integer> requests, boolean isComplete, Duration validity) {
    long validUntilNanos = timer.nanoTime() + validity.toNanos();
    pools.values().forEach(pool -> pool.setPeersInFlight(requests, isComplete, validUntilNanos));
  }

  /**
   * Returns the number of requests in flight that the queues of this instance have placed.
   *
   * @return requests by endpoint; endpoints without any are omitted
   */
  public Map<EndpointId, Integer> inFlightByEndpoint() {
    Map<EndpointId, Integer> requests = new HashMap<>();
    pools.values().forEach(pool -> requests.putAll(pool.inFlightByEndpoint()));
    return requests;
  }

  /**
   * Returns whether a listed endpoint accepts requests.
   *
   * @return whether a pool has an endpoint that is not leaving
   */
  public boolean hasAcceptingEndpoint() {
    return pools.values().stream().anyMatch(PoolPlacement::hasAcceptingEndpoint);
  }

  /**
   * Queues a request without deciding about it, so that several can be decided about together.
   *
   * @param name name of the pool
   * @param request request
   * @param listener receives the decision
   */
  public void enqueue(PoolName name, WaitingRequest request, PlacementListener listener) {
    listeners.computeIfAbsent(name, pool -> new HashMap<>()).put(request.id(), listener);
    pool(name).add(request, timer.nanoTime());
  }

  @Override
  public void place(PoolName pool, WaitingRequest request, PlacementListener listener) {
    enqueue(pool, request, listener);
    decide(pool);
  }

  @Override
  public void withdraw(PoolName name, String requestId) {
    Map<String, PlacementListener> waiting = listeners.get(name);
    if (waiting != null && waiting.remove(requestId) != null) {
      pool(name).remove(requestId);
    }
  }

  @Override
  public void decide(PoolName name) {
    PoolPlacement pool = pool(name);
    if (pool.waiting() == 0) {
      return;
    }
    long now = timer.nanoTime();
    Map<String, PlacementListener> waiting = listeners.getOrDefault(name, Map.of());
    for (PlacementDecision decision : pool.decide(now)) {
      PlacementListener listener = waiting.remove(decision.request().id());
      if (decision instanceof PlacementDecision.Placed placed) {
        PlacementGrant grant = pool.grant(placed, now);
        if (listener == null) {
          grant.end(AttemptResult.CANCELLED, now);
        } else {
          listener.onPlaced(placed, grant);
        }
      } else if (listener != null) {
        listener.onRefused((PlacementDecision.Refused) decision);
      }
    }
    if (pool.waiting() > 0) {
      scheduleDecision();
    }
  }

  private void scheduleDecision() {
    if (!isDecisionScheduled) {
      isDecisionScheduled = true;
      timer.after(PLACEMENT_PERIOD, this::decideAll);
    }
  }

  private void decideAll() {
    isDecisionScheduled = false;
    names().forEach(this::decide);
  }
}
