package org.snipewick.membership;

import static java.util.Objects.requireNonNull;

import java.time.Duration;

/**
 * Periods and time-outs of membership.
 *
 * @param heartbeatPeriod time between heartbeats to each member of the own failure domain
 * @param standingTimeout longest time without a run after which this instance loses standing
 * @param deathTimeout silence after which a member of the own failure domain is declared dead
 * @param digestPeriod time between rounds of digests to members of other failure domains
 * @param digestFanout members of other failure domains that get a digest each round
 * @param domainTimeout silence after which a whole other failure domain counts as cut off
 * @param listPeriod time between reads of the platform's list while no neighbour is heard
 * @param lossRetention how long lost members stay listed
 */
public record MembershipSettings(
    Duration heartbeatPeriod,
    Duration standingTimeout,
    Duration deathTimeout,
    Duration digestPeriod,
    int digestFanout,
    Duration domainTimeout,
    Duration listPeriod,
    Duration lossRetention) {

  /** Checks the parts. */
  public MembershipSettings {
    requireNonNull(heartbeatPeriod, "heartbeatPeriod");
    requireNonNull(standingTimeout, "standingTimeout");
    requireNonNull(deathTimeout, "deathTimeout");
    requireNonNull(digestPeriod, "digestPeriod");
    requireNonNull(domainTimeout, "domainTimeout");
    requireNonNull(listPeriod, "listPeriod");
    requireNonNull(lossRetention, "lossRetention");
    if (standingTimeout.compareTo(deathTimeout.minus(heartbeatPeriod)) >= 0) {
      throw new IllegalArgumentException(
          "standingTimeout must be shorter than deathTimeout less heartbeatPeriod");
    }
    if (digestFanout < 1) {
      throw new IllegalArgumentException("digestFanout must be positive");
    }
  }

  /**
   * Returns the settings used unless others are given.
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
   * Returns these settings with another retention of lost members.
   *
   * @param changed how long lost members stay listed
   * @return changed copy
   */
  public MembershipSettings withLossRetention(Duration changed) {
    return new MembershipSettings(
        heartbeatPeriod,
        standingTimeout,
        deathTimeout,
        digestPeriod,
        digestFanout,
        domainTimeout,
        listPeriod,
        changed);
  }

  /** Returns how old the newest answered heartbeat may be while an instance has standing. */
  Duration answerTimeout() {
    return deathTimeout.minus(heartbeatPeriod);
  }
}
