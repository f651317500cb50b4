package org.snipewick.store;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.annotation.JsonIgnore;
import com.fasterxml.jackson.annotation.JsonProperty;
import org.snipewick.identity.FailureDomain;

/**
 * An instance as the platform lists it.
 *
 * @param id name, unique over all kinds
 * @param kind what runs there
 * @param domain failure domain
 * @param host IP address
 * @param port for an entry instance its peer port, for an endpoint its HTTP port
 * @param pool model or service served; empty for an entry instance
 * @param state whether it is live or leaving
 */
public record ListedInstance(
    String id, Kind kind, FailureDomain domain, String host, int port, String pool, State state) {

  /** Checks the parts. */
  public ListedInstance {
    requireNonNull(id, "id");
    requireNonNull(kind, "kind");
    requireNonNull(domain, "domain");
    requireNonNull(host, "host");
    requireNonNull(pool, "pool");
    requireNonNull(state, "state");
  }

  /**
   * Tells whether this is an entry instance.
   *
   * @return whether it is a process of this system
   */
  @JsonIgnore
  public boolean isEntry() {
    return kind == Kind.ENTRY;
  }

  /**
   * Tells whether this is an endpoint of a failure domain.
   *
   * @param failureDomain failure domain
   * @return whether an engine or a service runs there
   */
  public boolean isEndpointIn(FailureDomain failureDomain) {
    return !isEntry() && domain.equals(failureDomain);
  }

  /** What runs on an instance. */
  public enum Kind {
    /** A process of this system. */
    @JsonProperty("entry")
    ENTRY,
    /** A replica of a model engine or of a plain service. */
    @JsonProperty("endpoint")
    ENDPOINT
  }

  /** State of a listed instance. */
  public enum State {
    /** Takes new work. */
    @JsonProperty("live")
    LIVE,
    /** Finishes what it has and takes nothing new. */
    @JsonProperty("leaving")
    LEAVING
  }
}
