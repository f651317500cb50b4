package org.snipewick.pool;

import java.util.List;
import java.util.Optional;
import org.snipewick.identity.FailureDomain;
import org.snipewick.membership.MembershipView;
import org.snipewick.membership.Rendezvous;

/**
 * Routes prompts that share a long prefix to the same failure domain, so that few caches hold the
 * prefix. Short prompts stay in the domain where they arrived.
 */
final class DomainAffinity {
  /** Zero-based index of the block whose hash is the key; the hash covers the blocks up to it. */
  private static final int KEY_BLOCK_INDEX = 12;

  /** Prompts with fewer blocks of {@link WorkRequest#PREFIX_BLOCK_TOKENS} tokens are short. */
  private static final int MIN_PREFIX_BLOCKS = 24;

  private DomainAffinity() {}

  /**
   * Returns the domain to which a request is offered first, by rendezvous hashing of its prefix;
   * empty if the prompt is too short or no domain has an alive member.
   */
  static Optional<FailureDomain> preferredDomain(WorkRequest work, MembershipView view) {
    List<Long> hashes = work.prefixHashes();
    if (hashes.size() < MIN_PREFIX_BLOCKS) {
      return Optional.empty();
    }
    List<FailureDomain> domains =
        view.byDomain().keySet().stream()
            .filter(domain -> !view.aliveIn(domain).isEmpty())
            .toList();
    String key = "prefix/" + work.pool() + "/" + hashes.get(KEY_BLOCK_INDEX);
    return Rendezvous.first(key, domains, FailureDomain::value);
  }
}
