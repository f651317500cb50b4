package org.snipewick.membership;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonIgnore;
import org.snipewick.identity.FailureDomain;
import org.snipewick.identity.InstanceId;

/**
 * Versioned state of a member, which instances exchange by gossip. Of two claims about the same
 * member the one with the higher incarnation supersedes the other, then the one with the higher
 * refutation, then the one whose status comes later in {@link Status}.
 *
 * @param id name of the instance
 * @param domain failure domain
 * @param host IP address at which it accepts peers
 * @param port peer port
 * @param incarnation start of its process, in milliseconds since the Unix epoch; 0 if the member is
 *     only an entry of the platform's list or a seed
 * @param refutation how often the process has refuted a claim that it is dead; incremented only by
 *     the process itself
 * @param status state of the member
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
record MemberClaim(
    InstanceId id,
    FailureDomain domain,
    String host,
    int port,
    long incarnation,
    int refutation,
    Status status) {

  MemberClaim {
    requireNonNull(id, "id");
    requireNonNull(domain, "domain");
    requireNonNull(host, "host");
    requireNonNull(status, "status");
  }

  /**
   * Returns the claim that an instance makes about itself when it starts.
   *
   * @throws IllegalArgumentException if the incarnation is not positive
   */
  static MemberClaim of(Member self) {
    if (self.incarnation() < 1) {
      throw new IllegalArgumentException("incarnation must be positive");
    }
    return new MemberClaim(
        self.id(), self.domain(), self.host(), self.port(), self.incarnation(), 0, Status.ALIVE);
  }

  /** Returns whether this claim is newer than another one about the same member. */
  boolean supersedes(MemberClaim other) {
    if (incarnation != other.incarnation) {
      return incarnation > other.incarnation;
    }
    if (refutation != other.refutation) {
      return refutation > other.refutation;
    }
    return status.compareTo(other.status) > 0;
  }

  MemberClaim withStatus(Status changed) {
    return new MemberClaim(id, domain, host, port, incarnation, refutation, changed);
  }

  /** Returns a claim about the same address with the state that the member itself reports. */
  MemberClaim withReportedState(long newIncarnation, int newRefutation, Status newStatus) {
    return new MemberClaim(id, domain, host, port, newIncarnation, newRefutation, newStatus);
  }

  /** Returns a claim about the same address without a process, like that of a list entry. */
  MemberClaim withoutProcess() {
    return new MemberClaim(id, domain, host, port, 0, 0, Status.ALIVE);
  }

  MemberClaim withRefutation(int changed) {
    return new MemberClaim(id, domain, host, port, incarnation, changed, status);
  }

  /** Returns whether the claim is about a process, and not only about a list entry or a seed. */
  @JsonIgnore
  boolean hasIncarnation() {
    return incarnation > 0;
  }

  /** Returns whether the process was declared dead or has departed. */
  @JsonIgnore
  boolean isEnded() {
    return status.compareTo(Status.DEAD) >= 0;
  }

  /** Returns the public form; dead if the member's domain has timed out or its process ended. */
  Member toMember(boolean domainTimedOut) {
    Member.State state =
        domainTimedOut || isEnded()
            ? Member.State.DEAD
            : status == Status.LEAVING ? Member.State.LEAVING : Member.State.ALIVE;
    return new Member(id, domain, host, port, incarnation, state);
  }

  /** State of a member, in the order in which claims supersede each other. */
  @JsonFormat(shape = JsonFormat.Shape.NUMBER)
  enum Status {
    /** Neither declared dead nor stopping. */
    ALIVE,
    /** Has announced a planned stop. */
    LEAVING,
    /** Was declared dead, because it sent no heartbeat for longer than the death timeout. */
    DEAD,
    /** Has completed its planned stop. */
    DEPARTED
  }
}
