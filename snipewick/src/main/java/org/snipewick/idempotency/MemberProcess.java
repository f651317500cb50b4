package org.snipewick.idempotency;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.annotation.JsonFormat;
import org.snipewick.identity.InstanceId;
import org.snipewick.membership.Member;

/**
 * Process of an instance; after a restart the instance runs another process.
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
   * Returns whether the incarnation is known. It is not known if the instance is in the membership
   * view only because it is on the platform's list, and no heartbeat of it was received yet.
   */
  boolean hasKnownIncarnation() {
    return incarnation != 0;
  }
}
