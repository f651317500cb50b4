package org.snipewick.store;

import static java.util.Objects.requireNonNull;

import java.time.Duration;

/**
 * Times of the polls for the changes of a table.
 *
 * @param maxWait maximum time that the store waits for a change in each poll
 * @param pauseAfterChange pause after a poll that returned changes. Changes in series, such as the
 *     registrations of all instances at a start of the system, then arrive in a few polls instead
 *     of one each; all instances together would otherwise make a number of polls that grows with
 *     the square of their number.
 */
public record PollSchedule(Duration maxWait, Duration pauseAfterChange) {

  /**
   * Checks the components.
   *
   * @throws IllegalArgumentException if a duration is negative
   */
  public PollSchedule {
    requireNonNull(maxWait, "maxWait");
    requireNonNull(pauseAfterChange, "pauseAfterChange");
    if (maxWait.isNegative() || pauseAfterChange.isNegative()) {
      throw new IllegalArgumentException("durations must not be negative");
    }
  }

  /**
   * Returns this schedule without the pause.
   *
   * @return schedule with the same wait, for a feed that keeps the pause itself
   */
  public PollSchedule withoutPause() {
    return new PollSchedule(maxWait, Duration.ZERO);
  }
}
