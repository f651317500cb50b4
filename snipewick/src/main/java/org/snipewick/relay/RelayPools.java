package org.snipewick.relay;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.snipewick.identity.EndpointId;
import org.snipewick.identity.InstanceId;
import org.snipewick.identity.PoolName;
import org.snipewick.placement.EndpointPermits;
import org.snipewick.placement.PoolPlacement;
import org.snipewick.placement.PoolRetryBudget;
import org.snipewick.placement.QueueOrder;
import org.snipewick.placement.WaitLimit;
import org.snipewick.registry.RegisteredEndpoint;

/** Queue and retry budget of each pool. Used on one event loop only. */
final class RelayPools {
  private final RelayDependencies dependencies;
  private final EndpointPermits permits;
  private final Map<PoolName, PoolPlacement> placements = new HashMap<>();
  private final Map<PoolName, PoolRetryBudget> retryBudgets = new HashMap<>();
  private Set<InstanceId> peers = Set.of();

  RelayPools(RelayDependencies dependencies, EndpointPermits permits) {
    this.permits = requireNonNull(permits, "permits");
    this.dependencies = requireNonNull(dependencies, "dependencies");
  }

  /** Sets the peers that share the endpoints and the retry budget. */
  void setPeers(Set<InstanceId> instances) {
    if (!peers.equals(instances)) {
      peers = Set.copyOf(instances);
      retryBudgets.clear();
      placements.values().forEach(pool -> pool.setInstances(peers.size() + 1));
    }
  }

  /** Sets the number of requests that the peers have in flight at each endpoint. */
  void setPeersInFlight(Map<EndpointId, Integer> requests, int reportingPeers, Duration validity) {
    boolean isComplete = reportingPeers >= peers.size();
    long validUntilNanos = dependencies.timer().nanoTime() + validity.toNanos();
    placements
        .values()
        .forEach(pool -> pool.setPeersInFlight(requests, isComplete, validUntilNanos));
  }

  /** Returns the number of requests that this instance has in flight at each endpoint. */
  Map<EndpointId, Integer> inFlightByEndpoint() {
    Map<EndpointId, Integer> requests = new HashMap<>();
    placements.values().forEach(pool -> requests.putAll(pool.inFlightByEndpoint()));
    return requests;
  }

  /** Replaces the list of endpoints of all pools. */
  void updateEndpoints(Collection<RegisteredEndpoint> endpoints) {
    Map<PoolName, List<RegisteredEndpoint>> byPool =
        endpoints.stream().collect(Collectors.groupingBy(RegisteredEndpoint::pool));
    byPool.keySet().forEach(this::placement);
    placements.forEach((name, pool) -> pool.update(byPool.getOrDefault(name, List.of())));
  }

  /** Returns whether a listed endpoint accepts requests. */
  boolean hasAcceptingEndpoint() {
    return placements.values().stream().anyMatch(PoolPlacement::hasAcceptingEndpoint);
  }

  /** Returns the names of all pools that had endpoints or requests. */
  List<PoolName> names() {
    return List.copyOf(placements.keySet());
  }

  /** Returns the queue of a pool; creates an empty one if there is none. */
  PoolPlacement placement(PoolName name) {
    return placements.computeIfAbsent(
        name,
        pool -> {
          PoolPlacement created =
              PoolPlacement.of(
                  dependencies.domain(),
                  QueueOrder.byTierOnTimeFirst(),
                  WaitLimit.untilTargetLatency(),
                  dependencies.random());
          created.setPermits(permits);
          created.setInstances(peers.size() + 1);
          return created;
        });
  }

  /** Returns the share of this instance in the retry budget of a pool. */
  PoolRetryBudget retryBudget(PoolName name) {
    RelayDependencies.RetryBudgetSettings settings = dependencies.retryBudget();
    return retryBudgets.computeIfAbsent(
        name,
        pool ->
            PoolRetryBudget.of(
                settings.retriesPerRequest(),
                settings.additionalRetries(),
                peers.size() + 1,
                settings.window()));
  }
}
