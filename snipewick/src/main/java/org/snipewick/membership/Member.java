package org.snipewick.membership;

import static java.util.Objects.requireNonNull;

import org.snipewick.identity.FailureDomain;
import org.snipewick.identity.InstanceId;

/**
 * An entry instance as this instance sees it.
 *
 * @param id name
 * @param domain failure domain
 * @param host IP address
 * @param port peer port
 * @param incarnation start of its process, in milliseconds since the Unix epoch; 0 if not yet heard
 * @param state what is believed of it
 */
public record Member(
    InstanceId id, FailureDomain domain, String host, int port, long incarnation, State state) {

  /** Checks the parts. */
  public Member {
    requireNonNull(id, "id");
    requireNonNull(domain, "domain");
    requireNonNull(host, "host");
    requireNonNull(state, "state");
  }

  /**
   * Returns this member with another state.
   *
   * @param changed what is believed now
   * @return changed copy
   */
  public Member withState(State changed) {
    return new Member(id, domain, host, port, incarnation, changed);
  }

  /** What is believed of a member. */
  public enum State {
    /** Answers heartbeats. */
    ALIVE,
    /** Has announced a planned stop; finishes what it has and takes no duties. */
    LEAVING,
    /** Has been silent for longer than the death time-out. */
    DEAD
  }
}
