package org.snipewick.membership;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonIgnore;
import org.snipewick.identity.FailureDomain;
import org.snipewick.identity.InstanceId;

/**
 * What an instance says of a member. Of two claims about the same member the one with the higher
 * incarnation holds, then that with the higher refutation, then that with the later status.
 *
 * @param id name
 * @param domain failure domain
 * @param host IP address
 * @param port peer port
 * @param incarnation start of its process, in milliseconds since the Unix epoch; 0 if only listed
 * @param refutation how often the process has learned that it was declared dead; only it counts
 * @param status what is said of it
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
record Claim(
    InstanceId id,
    FailureDomain domain,
    String host,
    int port,
    long incarnation,
    int refutation,
    Status status) {

  Claim {
    requireNonNull(id, "id");
    requireNonNull(domain, "domain");
    requireNonNull(host, "host");
    requireNonNull(status, "status");
  }

  /** Returns what an instance says of itself when it starts. */
  static Claim of(Member self) {
    if (self.incarnation() < 1) {
      throw new IllegalArgumentException("incarnation must be positive");
    }
    return new Claim(
        self.id(), self.domain(), self.host(), self.port(), self.incarnation(), 0, Status.ALIVE);
  }

  boolean supersedes(Claim other) {
    if (incarnation != other.incarnation) {
      return incarnation > other.incarnation;
    }
    if (refutation != other.refutation) {
      return refutation > other.refutation;
    }
    return status.compareTo(other.status) > 0;
  }

  Claim withStatus(Status changed) {
    return new Claim(id, domain, host, port, incarnation, refutation, changed);
  }

  /** Returns this claim about the same address with what the member says of itself now. */
  Claim restated(long newIncarnation, int newRefutation, Status newStatus) {
    return new Claim(id, domain, host, port, newIncarnation, newRefutation, newStatus);
  }

  Claim withRefutation(int changed) {
    return new Claim(id, domain, host, port, incarnation, changed, status);
  }

  @JsonIgnore
  boolean isHeardOf() {
    return incarnation > 0;
  }

  @JsonIgnore
  boolean isEnded() {
    return status.compareTo(Status.DEAD) >= 0;
  }

  Member toMember(boolean silent) {
    Member.State state =
        silent || isEnded()
            ? Member.State.DEAD
            : status == Status.LEAVING ? Member.State.LEAVING : Member.State.ALIVE;
    return new Member(id, domain, host, port, incarnation, state);
  }

  /** What is said of a member, in the order in which claims supersede each other. */
  @JsonFormat(shape = JsonFormat.Shape.NUMBER)
  enum Status {
    /** Answers heartbeats. */
    ALIVE,
    /** Has announced a planned stop. */
    LEAVING,
    /** Has been silent for longer than the death time-out. */
    DEAD,
    /** Has ended its planned stop. */
    DEPARTED
  }
}
