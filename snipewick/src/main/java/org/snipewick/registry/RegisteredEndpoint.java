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
 * @param port HTTP port, 1 to 65,535
 * @param slots number of requests that it can run at the same time, 1 to 100,000
 * @param isLeaving whether the endpoint accepts no new requests
 * @param version version of the software that it runs; empty if it states none
 */
public record RegisteredEndpoint(
    EndpointId id,
    long startedEpochMillis,
    PoolName pool,
    FailureDomain domain,
    String host,
    int port,
    int slots,
    boolean isLeaving,
    String version) {
  private static final int MAX_PORT = 65_535;

  /** Far more than an endpoint runs at the same time; sums over many endpoints cannot overflow. */
  private static final int MAX_SLOTS = 100_000;

  /**
   * Checks the components.
   *
   * @throws IllegalArgumentException if {@code slots} or {@code port} is out of range
   */
  public RegisteredEndpoint {
    requireNonNull(id, "id");
    requireNonNull(pool, "pool");
    requireNonNull(domain, "domain");
    requireNonNull(host, "host");
    requireNonNull(version, "version");
    if (slots < 1 || slots > MAX_SLOTS) {
      throw new IllegalArgumentException("slots must be 1 to " + MAX_SLOTS + " for endpoint " + id);
    }
    if (port < 1 || port > MAX_PORT) {
      throw new IllegalArgumentException("port must be 1 to " + MAX_PORT + " for endpoint " + id);
    }
  }

  /**
   * Creates an entry of an endpoint that states no version.
   *
   * @param id name of the endpoint
   * @param startedEpochMillis start of this incarnation
   * @param pool pool that the endpoint belongs to
   * @param domain failure domain
   * @param host IP address
   * @param port HTTP port
   * @param slots number of requests that it can run at the same time
   * @param isLeaving whether the endpoint accepts no new requests
   */
  public RegisteredEndpoint(
      EndpointId id,
      long startedEpochMillis,
      PoolName pool,
      FailureDomain domain,
      String host,
      int port,
      int slots,
      boolean isLeaving) {
    this(id, startedEpochMillis, pool, domain, host, port, slots, isLeaving, "");
  }

  /**
   * Returns this entry marked as leaving.
   *
   * @return entry of the same incarnation that accepts no new requests
   */
  public RegisteredEndpoint asLeaving() {
    return new RegisteredEndpoint(
        id, startedEpochMillis, pool, domain, host, port, slots, true, version);
  }
}
