package org.snipewick.relay;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.snipewick.identity.EndpointId;
import org.snipewick.identity.InstanceId;
import org.snipewick.identity.PoolName;
import org.snipewick.placement.EndpointPermits;
import org.snipewick.placement.LocalPlacer;
import org.snipewick.placement.PoolPlacement;
import org.snipewick.placement.PoolRetryBudget;
import org.snipewick.placement.QueueOrder;
import org.snipewick.placement.RequestPlacer;
import org.snipewick.placement.WaitLimit;
import org.snipewick.registry.RegisteredEndpoint;

/** Queue and retry budget of each pool. Used on one event loop only. */
final class RelayPools {
  private final RelayDependencies dependencies;
  private final EndpointPermits permits;
  private final LocalPlacer local;
  private final Map<PoolName, PoolRetryBudget> retryBudgets = new HashMap<>();
  private RequestPlacer placer;
  private Set<InstanceId> peers = Set.of();

  RelayPools(RelayDependencies dependencies, EndpointPermits permits) {
    this.permits = requireNonNull(permits, "permits");
    this.dependencies = requireNonNull(dependencies, "dependencies");
    this.local = LocalPlacer.of(this::emptyPool, dependencies.timer());
    this.placer = local;
  }

  private PoolPlacement emptyPool() {
    PoolPlacement created =
        PoolPlacement.of(
            dependencies.domain(),
            QueueOrder.byTierOnTimeFirst(),
            WaitLimit.untilTargetLatency(),
            dependencies.random());
    created.setPermits(permits);
    return created;
  }

  /** Returns the placer that decides by the queues of this instance. */
  LocalPlacer local() {
    return local;
  }

  /** Returns the placer that decides about new requests. */
  RequestPlacer placer() {
    return placer;
  }

  /** Sets the placer for new requests; requests that wait in queues of this instance remain. */
  void setPlacer(RequestPlacer changed) {
    placer = requireNonNull(changed, "changed");
  }

  /** Sets the peers that share the endpoints and the retry budget. */
  void setPeers(Set<InstanceId> instances) {
    if (!peers.equals(instances)) {
      peers = Set.copyOf(instances);
      retryBudgets.clear();
      local.setInstances(peers.size() + 1);
    }
  }

  /** Sets the number of requests that the peers have in flight at each endpoint. */
  void setPeersInFlight(Map<EndpointId, Integer> requests, int reportingPeers, Duration validity) {
    local.setPeersInFlight(requests, reportingPeers >= peers.size(), validity);
  }

  /** Returns the number of requests that this instance has in flight at each endpoint. */
  Map<EndpointId, Integer> inFlightByEndpoint() {
    return local.inFlightByEndpoint();
  }

  /** Replaces the list of endpoints of all pools. */
  void updateEndpoints(Collection<RegisteredEndpoint> endpoints) {
    local.updateEndpoints(endpoints);
  }

  /** Returns whether a listed endpoint accepts requests. */
  boolean hasAcceptingEndpoint() {
    return local.hasAcceptingEndpoint();
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
