package org.snipewick.discovery;

import java.util.Map;
import org.snipewick.peer.PeerMessage;

/** Peer messages that distribute the endpoints of a failure domain among its instances. */
public final class DiscoveryMessages {

  /** Message types by their names on the wire, which must stay stable. */
  public static final Map<String, Class<? extends PeerMessage>> MESSAGE_TYPES =
      Map.of(
          "pool-endpoints", PoolEndpoints.class,
          "endpoints-query", EndpointsQuery.class,
          "domain-endpoints", DomainEndpoints.class);

  private DiscoveryMessages() {}
}
