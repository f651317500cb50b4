package org.snipewick.quota;

import java.time.Duration;
import java.util.Optional;

/**
 * Permits that the holder of a slot has granted for endpoints with limits. They are not recorded in
 * the store: a holder that takes a slot grants none before those of earlier holders have ended. Not
 * thread-safe.
 */
final class PermitLedger {
  private static final Duration COUNTS = EndpointCapacity.WINDOW.plus(SlotLease.GRANT_LIFETIME);

  private final GrantLedger ledger = GrantLedger.empty();
  private Optional<Long> firstGrantNanos = Optional.empty();

  /** Records that the slot was taken, after the end of the lease of any earlier holder. */
  void start(long nowNanos) {
    firstGrantNanos = Optional.of(nowNanos + COUNTS.toNanos());
  }

  /**
   * Grants a permit if fewer than the capacity count.
   *
   * @return empty if it is granted; otherwise the time until one may be
   */
  Optional<Duration> tryGrant(String endpoint, int capacity, long nowNanos) {
    long blockedNanos = firstGrantNanos.map(first -> first - nowNanos).orElse(COUNTS.toNanos());
    if (blockedNanos > 0) {
      return Optional.of(Duration.ofNanos(blockedNanos));
    }
    double excess = ledger.total(endpoint, nowNanos) + 1 - capacity;
    if (excess > 0) {
      return Optional.of(ledger.untilExpired(endpoint, excess, nowNanos));
    }
    ledger.add(endpoint, 1, COUNTS, nowNanos);
    return Optional.empty();
  }
}
