package org.snipewick.discovery;

import static java.util.Objects.requireNonNull;

import java.util.List;
import org.snipewick.identity.PoolName;
import org.snipewick.peer.PeerMessage;
import org.snipewick.store.ListedInstance;

/**
 * All endpoints of a pool in the sender's failure domain, according to the platform's list.
 *
 * @param pool pool of a model or service
 * @param readEpochMillis when the list was read, in milliseconds since the Unix epoch; the receiver
 *     drops the message unless it was read later than the stored endpoints
 * @param endpoints endpoints, sorted by identifier; an endpoint that is missing is no longer listed
 */
public record PoolEndpoints(PoolName pool, long readEpochMillis, List<ListedInstance> endpoints)
    implements PeerMessage {

  /** Checks the pool and copies the endpoints. */
  public PoolEndpoints {
    requireNonNull(pool, "pool");
    endpoints = List.copyOf(endpoints);
  }
}
