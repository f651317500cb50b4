package org.snipewick.discovery;

import java.util.List;
import org.snipewick.peer.PeerMessage;

/**
 * Endpoints of the pools that an instance knows.
 *
 * @param pools pools; empty as the plain confirmation of {@link PoolEndpoints}
 */
public record DomainEndpoints(List<PoolEndpoints> pools) implements PeerMessage {

  /** Copies the pools. */
  public DomainEndpoints {
    pools = List.copyOf(pools);
  }
}
