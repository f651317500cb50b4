package org.snipewick.membership;

import static java.util.Objects.requireNonNull;

import java.time.Duration;

/**
 * Periods and timeouts of membership.
 *
 * @param heartbeatPeriod time between heartbeats to each member of the local failure domain
 * @param activityTimeout time without a heartbeat round after which this instance becomes inactive
 * @param deathTimeout time without a heartbeat after which a member of the local failure domain is
 *     declared dead
 * @param digestPeriod time between rounds of digests to members of other failure domains and to
 *     local peers
 * @param digestFanout number of members of other failure domains that are sent a digest each round
 * @param domainTimeout time without an advance of its heartbeat counter after which all members of
 *     another failure domain count as dead
 * @param listPeriod mean time between reads of the platform's list until the first heartbeat of a
 *     peer is received
 * @param lostProcessRetention how long lost processes are kept
 */
public record MembershipSettings(
    Duration heartbeatPeriod,
    Duration activityTimeout,
    Duration deathTimeout,
    Duration digestPeriod,
    int digestFanout,
    Duration domainTimeout,
    Duration listPeriod,
    Duration lostProcessRetention) {

  /**
   * Checks the settings.
   *
   * @throws IllegalArgumentException if {@code activityTimeout} is not shorter than {@code
   *     deathTimeout} less {@code heartbeatPeriod}, or if {@code digestFanout} is not positive
   */
  public MembershipSettings {
    requireNonNull(heartbeatPeriod, "heartbeatPeriod");
    requireNonNull(activityTimeout, "activityTimeout");
    requireNonNull(deathTimeout, "deathTimeout");
    requireNonNull(digestPeriod, "digestPeriod");
    requireNonNull(domainTimeout, "domainTimeout");
    requireNonNull(listPeriod, "listPeriod");
    requireNonNull(lostProcessRetention, "lostProcessRetention");
    if (activityTimeout.compareTo(deathTimeout.minus(heartbeatPeriod)) >= 0) {
      throw new IllegalArgumentException(
          "activityTimeout must be shorter than deathTimeout less heartbeatPeriod");
    }
    if (digestFanout < 1) {
      throw new IllegalArgumentException("digestFanout must be positive");
    }
  }

  /**
   * Returns the default settings.
   *
   * @return settings
   */
  public static MembershipSettings defaults() {
    return new MembershipSettings(
        Duration.ofMillis(500),
        Duration.ofSeconds(1),
        Duration.ofSeconds(2),
        Duration.ofSeconds(1),
        2,
        Duration.ofSeconds(6),
        Duration.ofSeconds(2),
        Duration.ofHours(1));
  }

  /**
   * Returns these settings with another retention time of lost processes.
   *
   * @param changed how long lost processes are kept
   * @return copy of these settings with the given retention time
   */
  public MembershipSettings withLostProcessRetention(Duration changed) {
    return new MembershipSettings(
        heartbeatPeriod,
        activityTimeout,
        deathTimeout,
        digestPeriod,
        digestFanout,
        domainTimeout,
        listPeriod,
        changed);
  }

  /** Returns how old the newest acknowledged heartbeat round of an active instance may be. */
  Duration acknowledgementTimeout() {
    return deathTimeout.minus(heartbeatPeriod);
  }
}
