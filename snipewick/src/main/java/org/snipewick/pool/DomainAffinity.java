package org.snipewick.pool;

import java.util.List;
import java.util.Optional;
import org.snipewick.identity.FailureDomain;
import org.snipewick.membership.MembershipView;
import org.snipewick.membership.Rendezvous;

/**
 * Sends requests that share a long prefix to the same failure domain, so that the prefix is kept in
 * few caches. Short prompts stay in the domain where they arrived.
 */
final class DomainAffinity {
  private static final int KEY_BLOCK = 12;
  private static final int LEAST_BLOCKS = 24;

  private DomainAffinity() {}

  /** Returns the domain to ask first, empty if the prompt speaks for none. */
  static Optional<FailureDomain> of(WorkRequest work, MembershipView view) {
    List<Long> hashes = work.prefixHashes();
    if (hashes.size() < LEAST_BLOCKS) {
      return Optional.empty();
    }
    List<FailureDomain> domains =
        view.byDomain().keySet().stream()
            .filter(domain -> !view.aliveIn(domain).isEmpty())
            .toList();
    String key = "prefix/" + work.pool() + "/" + hashes.get(KEY_BLOCK);
    return Rendezvous.first(key, domains, FailureDomain::value);
  }
}
