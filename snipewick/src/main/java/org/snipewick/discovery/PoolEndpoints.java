package org.snipewick.discovery;

import static java.util.Objects.requireNonNull;

import java.util.List;
import org.snipewick.identity.PoolName;
import org.snipewick.peer.PeerMessage;
import org.snipewick.store.ListedInstance;

/**
 * All endpoints of a pool in the sender's failure domain, as the platform lists them.
 *
 * @param pool model or service
 * @param readEpochMillis when the list was read, in milliseconds since the Unix epoch
 * @param endpoints endpoints in order of their names; those missing no longer exist
 */
public record PoolEndpoints(PoolName pool, long readEpochMillis, List<ListedInstance> endpoints)
    implements PeerMessage {

  /** Checks and copies the parts. */
  public PoolEndpoints {
    requireNonNull(pool, "pool");
    endpoints = List.copyOf(endpoints);
  }
}
