package org.snipewick.idempotency;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.annotation.JsonFormat;
import org.snipewick.identity.InstanceId;
import org.snipewick.membership.Member;

/**
 * Process of an instance, from its start to its end.
 *
 * @param instance instance that the process runs
 * @param incarnation start of the process in milliseconds since the Unix epoch; 0 if not known
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record MemberProcess(InstanceId instance, long incarnation) {

  /** Rejects a null instance. */
  public MemberProcess {
    requireNonNull(instance, "instance");
  }

  /**
   * Returns the process of a member.
   *
   * @param member member
   * @return its process
   */
  public static MemberProcess of(Member member) {
    return new MemberProcess(member.id(), member.incarnation());
  }

  /**
   * Returns whether a heartbeat of the process was received, rather than the instance being known
   * from the platform's list alone.
   */
  boolean isHeard() {
    return incarnation != 0;
  }
}
