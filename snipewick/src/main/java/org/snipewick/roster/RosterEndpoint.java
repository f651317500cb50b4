package org.snipewick.roster;

import static java.util.Objects.requireNonNull;

import org.snipewick.identity.EndpointId;
import org.snipewick.identity.FailureDomain;
import org.snipewick.identity.PoolName;

/**
 * An endpoint as it is listed.
 *
 * @param id name; comes back with another start when the endpoint starts again
 * @param startedEpochMillis start of this incarnation, in milliseconds since the Unix epoch
 * @param pool pool that it belongs to
 * @param domain failure domain
 * @param host IP address
 * @param port HTTP port
 * @param slots requests that it runs at once
 * @param isLeaving whether it takes no new requests
 */
public record RosterEndpoint(
    EndpointId id,
    long startedEpochMillis,
    PoolName pool,
    FailureDomain domain,
    String host,
    int port,
    int slots,
    boolean isLeaving) {

  /** Checks the parts. */
  public RosterEndpoint {
    requireNonNull(id, "id");
    requireNonNull(pool, "pool");
    requireNonNull(domain, "domain");
    requireNonNull(host, "host");
    if (slots < 1 || port < 1) {
      throw new IllegalArgumentException("endpoint without slots or port: " + id);
    }
  }
}
