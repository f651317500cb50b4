package org.snipewick.placement;

import java.util.Collection;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.snipewick.identity.EndpointId;
import org.snipewick.registry.RegisteredEndpoint;

/**
 * Loads of the endpoints of one pool. Those whose entries are missing are kept for their return, as
 * an entry may lapse while its endpoint runs requests or has asked for a pause. Not thread-safe.
 */
final class EndpointLoads {
  /** Bounds the memory for endpoints that never return; a pool has some hundred endpoints. */
  private static final int MAX_UNLISTED = 512;

  private final Map<EndpointId, EndpointLoad> listed = new LinkedHashMap<>();

  /** In the order in which the entries were missed. */
  private final Map<EndpointId, EndpointLoad> unlisted = new LinkedHashMap<>();

  /** Replaces the entries of the endpoints by those listed now. */
  void update(Collection<RegisteredEndpoint> endpoints) {
    Set<EndpointId> missing = new HashSet<>(listed.keySet());
    for (RegisteredEndpoint endpoint : endpoints) {
      missing.remove(endpoint.id());
      EndpointLoad returned = unlisted.remove(endpoint.id());
      if (returned != null) {
        listed.put(endpoint.id(), returned);
      }
      listed.computeIfAbsent(endpoint.id(), id -> new EndpointLoad(endpoint)).update(endpoint);
    }
    missing.forEach(id -> unlisted.put(id, listed.remove(id)));
    Iterator<EndpointId> oldest = unlisted.keySet().iterator();
    for (int surplus = unlisted.size() - MAX_UNLISTED; surplus > 0; surplus--) {
      oldest.next();
      oldest.remove();
    }
  }

  /** Returns the loads of the listed endpoints, by name. */
  Map<EndpointId, EndpointLoad> listed() {
    return listed;
  }

  /** Returns the load of an endpoint that is listed, or was until lately. */
  Optional<EndpointLoad> find(EndpointId endpoint) {
    EndpointLoad load = listed.get(endpoint);
    return Optional.ofNullable(load == null ? unlisted.get(endpoint) : load);
  }
}
