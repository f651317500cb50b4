package org.snipewick.idempotency;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.Set;
import org.snipewick.identity.FailureDomain;

/**
 * Retention times and timeouts of the request ledgers.
 *
 * @param keyRetention how long the outcome of a model request or read is retained
 * @param actionRetention how long the row of an action is retained
 * @param claimTimeout how long a claim may take before the request is refused
 * @param peerTimeout timeout of one call to another instance
 * @param retryAfter delay after which a refused caller should retry
 * @param homeDomains failure domains among which keys are partitioned; must be the same on all
 *     instances; if empty, the domains of the membership view are used
 */
public record LedgerSettings(
    Duration keyRetention,
    Duration actionRetention,
    Duration claimTimeout,
    Duration peerTimeout,
    Duration retryAfter,
    Set<FailureDomain> homeDomains) {

  /** Rejects null components and durations that are not positive; copies the domains. */
  public LedgerSettings {
    requirePositive(keyRetention, "keyRetention");
    requirePositive(actionRetention, "actionRetention");
    requirePositive(claimTimeout, "claimTimeout");
    requirePositive(peerTimeout, "peerTimeout");
    requirePositive(retryAfter, "retryAfter");
    homeDomains = Set.copyOf(homeDomains);
  }

  /**
   * Returns the defaults: key retention 2 minutes, action retention 24 hours, claim timeout 3
   * seconds, peer timeout 400 milliseconds, retry after 2 seconds, no fixed home domains.
   *
   * @return default settings
   */
  public static LedgerSettings defaults() {
    return new LedgerSettings(
        Duration.ofMinutes(2),
        Duration.ofHours(24),
        Duration.ofSeconds(3),
        Duration.ofMillis(400),
        Duration.ofSeconds(2),
        Set.of());
  }

  /**
   * Returns a copy with another retention of keys.
   *
   * @param changed how long outcomes of model requests and reads are retained
   * @return changed copy
   */
  public LedgerSettings withKeyRetention(Duration changed) {
    return new LedgerSettings(
        changed, actionRetention, claimTimeout, peerTimeout, retryAfter, homeDomains);
  }

  /**
   * Returns a copy with fixed domains among which keys are partitioned.
   *
   * @param changed failure domains, the same on all instances
   * @return changed copy
   */
  public LedgerSettings withHomeDomains(Set<FailureDomain> changed) {
    return new LedgerSettings(
        keyRetention, actionRetention, claimTimeout, peerTimeout, retryAfter, changed);
  }

  private static void requirePositive(Duration duration, String name) {
    requireNonNull(duration, name);
    if (duration.isZero() || duration.isNegative()) {
      throw new IllegalArgumentException(name + " must be positive");
    }
  }
}
