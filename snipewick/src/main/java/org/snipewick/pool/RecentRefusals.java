package org.snipewick.pool;

import java.util.HashMap;
import java.util.Map;
import org.snipewick.failure.FailureType;
import org.snipewick.identity.FailureDomain;
import org.snipewick.identity.PoolName;
import org.snipewick.identity.Tier;

/** Refusals by the schedulers of failure domains within the last 500 ms, by pool and tier. */
final class RecentRefusals {
  /** Time for which a refusal counts. */
  private static final long VALIDITY_NANOS = 500_000_000L;

  /** Number of refusals at which expired ones are removed before another is recorded. */
  private static final int PRUNE_THRESHOLD_ENTRIES = 1_024;

  private final Map<Key, Long> refusedNanos = new HashMap<>();
  private final Map<Key, Long> noEndpointNanos = new HashMap<>();

  private record Key(FailureDomain domain, PoolName pool, Tier tier) {}

  void record(FailureDomain domain, WorkRequest work, FailureType reason, long nowNanos) {
    if (refusedNanos.size() >= PRUNE_THRESHOLD_ENTRIES) {
      refusedNanos.values().removeIf(refusedAt -> nowNanos - refusedAt > VALIDITY_NANOS);
      noEndpointNanos.values().removeIf(refusedAt -> nowNanos - refusedAt > VALIDITY_NANOS);
    }
    if (reason == FailureType.DEADLINE_UNREACHABLE) {
      return;
    }
    if (reason == FailureType.NO_ENDPOINT) {
      // Counts for all tiers: the tier of the key is a placeholder.
      noEndpointNanos.put(new Key(domain, work.pool(), Tier.FOUR), nowNanos);
    }
    refusedNanos.put(new Key(domain, work.pool(), work.tier()), nowNanos);
  }

  /** Returns whether the request's tier or a higher one was refused there in the last 500 ms. */
  boolean hasRefused(FailureDomain domain, WorkRequest work, long nowNanos) {
    for (Tier tier : Tier.values()) {
      Long refusedAt = refusedNanos.get(new Key(domain, work.pool(), tier));
      if (!work.tier().isHigherThan(tier)
          && refusedAt != null
          && nowNanos - refusedAt <= VALIDITY_NANOS) {
        return true;
      }
    }
    return false;
  }

  /** Returns whether a domain had no endpoint for a pool in the last 500 ms. */
  boolean hadNoEndpoint(FailureDomain domain, PoolName pool, long nowNanos) {
    Long refusedAt = noEndpointNanos.get(new Key(domain, pool, Tier.FOUR));
    return refusedAt != null && nowNanos - refusedAt <= VALIDITY_NANOS;
  }
}
