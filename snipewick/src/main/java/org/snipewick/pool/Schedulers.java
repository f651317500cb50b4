package org.snipewick.pool;

import java.util.List;
import java.util.Optional;
import org.snipewick.identity.FailureDomain;
import org.snipewick.identity.InstanceId;
import org.snipewick.identity.PoolName;
import org.snipewick.membership.Member;
import org.snipewick.membership.MembershipView;
import org.snipewick.membership.Rendezvous;

/** Which instance schedules a pool in a failure domain, by a view of the members. */
public final class Schedulers {
  private Schedulers() {}

  /**
   * Returns the scheduler; a leaving member only if none is alive.
   *
   * @param view members
   * @param domain failure domain
   * @param pool model or service
   * @return scheduler, empty if all members of the domain are dead
   */
  public static Optional<InstanceId> of(MembershipView view, FailureDomain domain, PoolName pool) {
    List<Member> alive = view.aliveIn(domain);
    List<Member> candidates = alive.isEmpty() ? view.reachableIn(domain) : alive;
    return Rendezvous.first(
            "pool/" + domain + "/" + pool, candidates, member -> member.id().value())
        .map(Member::id);
  }
}
