package org.snipewick.pool;

import java.util.HashMap;
import java.util.Map;
import org.snipewick.failure.FailureType;
import org.snipewick.identity.FailureDomain;
import org.snipewick.identity.PoolName;
import org.snipewick.identity.Tier;

/** Which tiers the schedulers of other failure domains refused lately. */
final class RefusalMemory {
  private static final long MEMORY_NANOS = 500_000_000L;
  private static final int MAX_ENTRIES = 1_024;

  private final Map<Place, Long> refusedNanos = new HashMap<>();
  private final Map<Place, Long> noEndpointNanos = new HashMap<>();

  private record Place(FailureDomain domain, PoolName pool, Tier tier) {}

  void refused(FailureDomain domain, WorkRequest work, FailureType reason, long nowNanos) {
    if (refusedNanos.size() >= MAX_ENTRIES) {
      refusedNanos.values().removeIf(at -> nowNanos - at > MEMORY_NANOS);
      noEndpointNanos.values().removeIf(at -> nowNanos - at > MEMORY_NANOS);
    }
    if (reason == FailureType.DEADLINE_UNREACHABLE) {
      return;
    }
    if (reason == FailureType.NO_ENDPOINT) {
      noEndpointNanos.put(new Place(domain, work.pool(), Tier.FOUR), nowNanos);
    }
    refusedNanos.put(new Place(domain, work.pool(), work.tier()), nowNanos);
  }

  /** Tells whether the tier or a higher one was refused there within the last half second. */
  boolean isRefusing(FailureDomain domain, WorkRequest work, long nowNanos) {
    for (Tier tier : Tier.values()) {
      Long at = refusedNanos.get(new Place(domain, work.pool(), tier));
      if (!work.tier().isHigherThan(tier) && at != null && nowNanos - at <= MEMORY_NANOS) {
        return true;
      }
    }
    return false;
  }

  /** Tells whether a domain had no endpoint for a pool within the last half second. */
  boolean hasNoEndpoint(FailureDomain domain, PoolName pool, long nowNanos) {
    Long at = noEndpointNanos.get(new Place(domain, pool, Tier.FOUR));
    return at != null && nowNanos - at <= MEMORY_NANOS;
  }
}
