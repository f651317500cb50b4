package org.snipewick.writer;

import java.util.Optional;
import org.snipewick.identity.InstanceId;
import org.snipewick.membership.Member;
import org.snipewick.membership.MembershipView;
import org.snipewick.membership.Rendezvous;

/** Which instance writes for the failure domain, by a view of the members. */
final class WriterPlacement {
  private static final String DUTY = "writer/";

  private WriterPlacement() {}

  /**
   * Returns the writer of the own domain; leaving members take no writes.
   *
   * @param view members
   * @return writer, empty if no member of the domain is alive
   */
  static Optional<InstanceId> of(MembershipView view) {
    return Rendezvous.first(
            DUTY + view.ownDomain(), view.aliveIn(view.ownDomain()), member -> member.id().value())
        .map(Member::id);
  }
}
