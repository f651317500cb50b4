package org.snipewick.writer;

import java.util.Optional;
import org.snipewick.identity.InstanceId;
import org.snipewick.membership.Member;
import org.snipewick.membership.MembershipView;
import org.snipewick.membership.Rendezvous;

/** Chooses the writer of a failure domain by rendezvous hashing over its alive members. */
final class WriterPlacement {
  private static final String HASH_KEY_PREFIX = "writer/";

  private WriterPlacement() {}

  /**
   * Returns the writer of the local failure domain; leaving members are not eligible.
   *
   * @param view current members
   * @return writer, empty if no member of the domain is alive
   */
  static Optional<InstanceId> of(MembershipView view) {
    return Rendezvous.first(
            HASH_KEY_PREFIX + view.localDomain(),
            view.aliveIn(view.localDomain()),
            member -> member.id().value())
        .map(Member::id);
  }
}
