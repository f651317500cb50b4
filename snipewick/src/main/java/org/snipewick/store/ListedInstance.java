package org.snipewick.store;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.annotation.JsonIgnore;
import com.fasterxml.jackson.annotation.JsonProperty;
import org.snipewick.identity.FailureDomain;

/**
 * An entry in the platform's list of instances.
 *
 * @param id name, unique among instances of all kinds
 * @param kind whether it is an entry instance or an endpoint
 * @param domain failure domain
 * @param host IP address
 * @param port TCP port: for an entry instance that of the peer protocol, for an endpoint that of
 *     HTTP
 * @param pool name of the model or service that it serves; empty for an entry instance
 * @param state whether it is live or leaving
 */
public record ListedInstance(
    String id, Kind kind, FailureDomain domain, String host, int port, String pool, State state) {

  /** Checks that no component is null. */
  public ListedInstance {
    requireNonNull(id, "id");
    requireNonNull(kind, "kind");
    requireNonNull(domain, "domain");
    requireNonNull(host, "host");
    requireNonNull(pool, "pool");
    requireNonNull(state, "state");
  }

  /**
   * Returns whether this is an entry instance.
   *
   * @return true for a process of this system, false for an endpoint
   */
  @JsonIgnore
  public boolean isEntry() {
    return kind == Kind.ENTRY;
  }

  /**
   * Returns whether this is an endpoint in a failure domain.
   *
   * @param failureDomain failure domain
   * @return true if it is a model engine or a plain service in that domain
   */
  public boolean isEndpointIn(FailureDomain failureDomain) {
    return !isEntry() && domain.equals(failureDomain);
  }

  /** Kind of a listed instance. */
  public enum Kind {
    /** A process of this system. */
    @JsonProperty("entry")
    ENTRY,
    /** A replica of a model engine or a plain service. */
    @JsonProperty("endpoint")
    ENDPOINT
  }

  /** Whether a listed instance accepts requests. */
  public enum State {
    /** Accepts new requests. */
    @JsonProperty("live")
    LIVE,
    /** Finishes its requests and accepts no new ones. */
    @JsonProperty("leaving")
    LEAVING
  }
}
