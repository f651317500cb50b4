package org.snipewick.membership;

import static java.util.Objects.requireNonNull;

import org.snipewick.identity.FailureDomain;
import org.snipewick.identity.InstanceId;

/**
 * Entry instance in the membership view of the local instance.
 *
 * @param id name of the instance
 * @param domain failure domain
 * @param host IP address
 * @param port peer port
 * @param incarnation start of its process, in milliseconds since the Unix epoch; 0 if no claim
 *     about a process of the instance was received yet
 * @param state state that the local instance assumes
 */
public record Member(
    InstanceId id, FailureDomain domain, String host, int port, long incarnation, State state) {

  /** Checks that no component is null. */
  public Member {
    requireNonNull(id, "id");
    requireNonNull(domain, "domain");
    requireNonNull(host, "host");
    requireNonNull(state, "state");
  }

  /**
   * Returns this member with another state.
   *
   * @param changed new state
   * @return copy of this member in the new state
   */
  public Member withState(State changed) {
    return new Member(id, domain, host, port, incarnation, changed);
  }

  /** Assumed state of a member. */
  public enum State {
    /** Neither leaving nor dead; may be assigned responsibilities. */
    ALIVE,
    /** Has announced a planned stop: finishes its requests and is assigned no responsibilities. */
    LEAVING,
    /**
     * Was declared dead after the death timeout, belongs to a failure domain that has timed out, or
     * has completed its planned stop.
     */
    DEAD
  }
}
