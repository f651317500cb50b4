package org.snipewick.discovery;

import java.util.Map;
import org.snipewick.peer.PeerMessage;

/** Messages of this package by their names on the wire. */
public final class DiscoveryMessages {

  /** Message types by stable name. */
  public static final Map<String, Class<? extends PeerMessage>> MESSAGE_TYPES =
      Map.of(
          "pool-endpoints", PoolEndpoints.class,
          "endpoints-query", EndpointsQuery.class,
          "domain-endpoints", DomainEndpoints.class);

  private DiscoveryMessages() {}
}
