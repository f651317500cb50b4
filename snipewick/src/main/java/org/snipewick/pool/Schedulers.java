package org.snipewick.pool;

import java.util.List;
import java.util.Optional;
import org.snipewick.identity.FailureDomain;
import org.snipewick.identity.InstanceId;
import org.snipewick.identity.PoolName;
import org.snipewick.membership.Member;
import org.snipewick.membership.MembershipView;
import org.snipewick.membership.Rendezvous;

/** Assignment of each pool in a failure domain to a scheduling instance, by membership view. */
public final class Schedulers {
  private Schedulers() {}

  /**
   * Returns the scheduler of a pool, by rendezvous hashing over the alive members of the domain.
   * Leaving members are candidates only if none is alive.
   *
   * @param view membership view
   * @param domain failure domain
   * @param pool pool
   * @return scheduler; empty if no member of the domain is alive or leaving
   */
  public static Optional<InstanceId> of(MembershipView view, FailureDomain domain, PoolName pool) {
    List<Member> alive = view.aliveIn(domain);
    List<Member> candidates = alive.isEmpty() ? view.reachableIn(domain) : alive;
    return Rendezvous.first(
            "pool/" + domain + "/" + pool, candidates, member -> member.id().value())
        .map(Member::id);
  }
}
