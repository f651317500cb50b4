package org.snipewick.idempotency;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.annotation.JsonFormat;
import org.snipewick.identity.InstanceId;
import org.snipewick.membership.Member;

/**
 * One run of an instance.
 *
 * @param instance instance
 * @param incarnation start of the process, in milliseconds since the Unix epoch; 0 if not known
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record MemberProcess(InstanceId instance, long incarnation) {

  /** Checks the instance. */
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

  /** Tells whether the process itself was heard, and is not only expected by a list. */
  boolean isHeard() {
    return incarnation != 0;
  }
}
