package org.snipewick.pool;

import java.util.Collection;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.snipewick.identity.EndpointId;
import org.snipewick.identity.RequestId;
import org.snipewick.identity.Tier;
import org.snipewick.pool.policy.DrainRate;
import org.snipewick.pool.policy.EndpointModel;
import org.snipewick.pool.policy.LengthModel;
import org.snipewick.pool.policy.Running;

/** What one scheduler knows: its queue, its endpoints, its grants and what it has learned. */
final class PoolState {
  final WaitingQueue queue;
  final LengthModel lengths;
  final DrainRate rates = new DrainRate();
  final Map<Tier, Long> lastShedNanos = new EnumMap<>(Tier.class);
  private final boolean usesPrefixes;
  private final Map<EndpointId, EndpointModel> endpoints = new TreeMap<>();
  private final Map<RequestId, EndpointId> granted = new HashMap<>();

  PoolState(PoolPolicy policy) {
    queue = new WaitingQueue(policy.ordering());
    lengths = new LengthModel(policy.learnsLengths());
    usesPrefixes = policy.usesPrefixes();
  }

  Collection<EndpointModel> endpoints() {
    return endpoints.values();
  }

  Collection<RequestId> granted() {
    return granted.keySet();
  }

  Optional<EndpointModel> endpoint(EndpointId id) {
    return Optional.ofNullable(endpoints.get(id));
  }

  Optional<EndpointModel> endpointOf(RequestId id) {
    return Optional.ofNullable(granted.get(id)).map(endpoints::get);
  }

  boolean knows(RequestId id) {
    return queue.contains(id) || granted.containsKey(id);
  }

  void update(EndpointStatus status) {
    EndpointModel known = endpoints.get(status.id());
    if (known == null) {
      endpoints.put(status.id(), new EndpointModel(status, usesPrefixes));
    } else {
      known.update(status);
    }
  }

  void forget(EndpointId id) {
    endpoints.remove(id);
    granted.values().removeIf(id::equals);
  }

  void run(EndpointModel endpoint, Running running) {
    endpoint.add(running);
    granted.put(running.work().id(), endpoint.id());
  }

  void release(RequestId id) {
    endpointOf(id).ifPresent(endpoint -> endpoint.remove(id));
    granted.remove(id);
  }
}
