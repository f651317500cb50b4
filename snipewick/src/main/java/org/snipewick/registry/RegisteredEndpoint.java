package org.snipewick.registry;

import static java.util.Objects.requireNonNull;

import org.snipewick.identity.EndpointId;
import org.snipewick.identity.FailureDomain;
import org.snipewick.identity.PoolName;

/**
 * Entry of an endpoint in the list of endpoints.
 *
 * @param id name of the endpoint, which it keeps when it restarts
 * @param startedEpochMillis start of this incarnation, in milliseconds since the Unix epoch
 * @param pool pool that the endpoint belongs to
 * @param domain failure domain
 * @param host IP address
 * @param port HTTP port, at least 1
 * @param slots number of requests that it can run at the same time, at least 1
 * @param isLeaving whether the endpoint accepts no new requests
 */
public record RegisteredEndpoint(
    EndpointId id,
    long startedEpochMillis,
    PoolName pool,
    FailureDomain domain,
    String host,
    int port,
    int slots,
    boolean isLeaving) {

  /**
   * Checks the components.
   *
   * @throws IllegalArgumentException if {@code slots} or {@code port} is less than 1
   */
  public RegisteredEndpoint {
    requireNonNull(id, "id");
    requireNonNull(pool, "pool");
    requireNonNull(domain, "domain");
    requireNonNull(host, "host");
    if (slots < 1 || port < 1) {
      throw new IllegalArgumentException("slots and port must be at least 1 for endpoint " + id);
    }
  }
}
