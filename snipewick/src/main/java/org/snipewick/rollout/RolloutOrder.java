package org.snipewick.rollout;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import org.snipewick.identity.PoolName;

/**
 * Order of the operator to move the traffic of a pool to the endpoints of a version.
 *
 * @param pool pool whose traffic is to be moved
 * @param to version, 1 to 128 characters
 * @param duration time from the order to its deadline, 1 s to a day
 * @param rowVersion version of the row that contains the order
 */
public record RolloutOrder(PoolName pool, String to, Duration duration, long rowVersion) {
  private static final int MAX_VERSION_CHARACTERS = 128;
  private static final Duration MIN_DURATION = Duration.ofSeconds(1);
  private static final Duration MAX_DURATION = Duration.ofDays(1);

  /**
   * Checks the components.
   *
   * @throws IllegalArgumentException if the version or the duration is out of range
   */
  public RolloutOrder {
    requireNonNull(pool, "pool");
    if (to.isBlank() || to.length() > MAX_VERSION_CHARACTERS) {
      throw new IllegalArgumentException("version must have 1 to 128 characters");
    }
    if (duration.compareTo(MIN_DURATION) < 0 || duration.compareTo(MAX_DURATION) > 0) {
      throw new IllegalArgumentException("duration must be 1 s to a day");
    }
  }
}
