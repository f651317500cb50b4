package org.snipewick.idempotency;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.Set;
import org.snipewick.identity.FailureDomain;

/**
 * Times and limits of the request ledgers.
 *
 * @param keyRetention how long the outcome of a model request or read is remembered
 * @param actionRetention how long the row of an action is kept
 * @param claimTimeout how long a claim may take before the call is refused
 * @param peerTimeout how long to wait for one answer of another instance
 * @param retryAfter when a refused caller should come back
 * @param homeDomains failure domains among which keys are divided; must be the same on all
 *     instances; empty for those of the view
 */
public record LedgerSettings(
    Duration keyRetention,
    Duration actionRetention,
    Duration claimTimeout,
    Duration peerTimeout,
    Duration retryAfter,
    Set<FailureDomain> homeDomains) {

  /** Checks and copies the parts. */
  public LedgerSettings {
    requirePositive(keyRetention, "keyRetention");
    requirePositive(actionRetention, "actionRetention");
    requirePositive(claimTimeout, "claimTimeout");
    requirePositive(peerTimeout, "peerTimeout");
    requirePositive(retryAfter, "retryAfter");
    homeDomains = Set.copyOf(homeDomains);
  }

  /**
   * Returns the defaults: 2 minutes, 24 hours, 3 seconds, 400 milliseconds, 2 seconds.
   *
   * @return settings
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
   * Returns these settings with another retention of keys.
   *
   * @param changed how long outcomes of model requests and reads are remembered
   * @return changed copy
   */
  public LedgerSettings withKeyRetention(Duration changed) {
    return new LedgerSettings(
        changed, actionRetention, claimTimeout, peerTimeout, retryAfter, homeDomains);
  }

  /**
   * Returns these settings with fixed domains among which keys are divided.
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
