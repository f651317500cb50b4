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
import org.snipewick.pool.policy.RunningRequest;

/** State of one scheduler: its queue, endpoints, granted requests and learned models. */
final class PoolState {
  final WaitingQueue queue;
  final LengthModel lengths;
  final DrainRate drainRate = new DrainRate();
  final Map<Tier, Long> lastShedNanos = new EnumMap<>(Tier.class);
  private final boolean prefixAware;
  private final Map<EndpointId, EndpointModel> endpoints = new TreeMap<>();
  private final Map<RequestId, EndpointId> granted = new HashMap<>();

  PoolState(PoolPolicy policy) {
    queue = new WaitingQueue(policy.ordering());
    lengths = new LengthModel(policy.learnsLengths());
    prefixAware = policy.prefixAware();
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

  boolean hasRequest(RequestId id) {
    return queue.contains(id) || granted.containsKey(id);
  }

  void updateEndpoint(EndpointStatus status) {
    EndpointModel known = endpoints.get(status.id());
    if (known == null) {
      endpoints.put(status.id(), new EndpointModel(status, prefixAware));
    } else {
      known.update(status);
    }
  }

  void removeEndpoint(EndpointId id) {
    endpoints.remove(id);
    granted.values().removeIf(id::equals);
  }

  void addGranted(EndpointModel endpoint, RunningRequest running) {
    endpoint.add(running);
    granted.put(running.work().id(), endpoint.id());
  }

  void release(RequestId id) {
    endpointOf(id).ifPresent(endpoint -> endpoint.remove(id));
    granted.remove(id);
  }
}
