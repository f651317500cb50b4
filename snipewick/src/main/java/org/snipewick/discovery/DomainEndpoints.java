package org.snipewick.discovery;

import java.util.List;
import org.snipewick.peer.PeerMessage;

/**
 * Reply to {@link EndpointsQuery} with the endpoints of all pools that the sender has stored. As
 * the reply to {@link PoolEndpoints} it has no pools and only confirms that the message was
 * received.
 *
 * @param pools endpoints by pool; empty in a confirmation, or if the sender has stored no pools
 */
public record DomainEndpoints(List<PoolEndpoints> pools) implements PeerMessage {

  /** Copies the pools. */
  public DomainEndpoints {
    pools = List.copyOf(pools);
  }
}
