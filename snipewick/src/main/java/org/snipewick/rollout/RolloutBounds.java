package org.snipewick.rollout;

import static java.util.Objects.requireNonNull;

import java.time.Duration;

/**
 * Bounds on what a bad version may receive.
 *
 * @param share part of the requests that reach the pool between an order and its deadline
 * @param slack requests beyond that, over all instances together
 * @param rollbackTime time after the 50th bad response from which it must receive nothing
 */
public record RolloutBounds(double share, double slack, Duration rollbackTime) {
  /**
   * Part of the share that is sent during the trial. The rest is left for the move, during which a
   * version can still turn bad.
   */
  private static final double TRIAL_PART = 0.6;

  /** Part of the slack that is used during the trial, so that small pools show something. */
  private static final double TRIAL_SLACK_PART = 0.3;

  /** Counts of the instances are some hundred milliseconds old when the move is decided. */
  private static final double MOVE_SLACK_PART = 0.9;

  /**
   * Checks the components.
   *
   * @throws IllegalArgumentException if the share is not from 0 to 1 or the slack is negative
   */
  public RolloutBounds {
    requireNonNull(rollbackTime, "rollbackTime");
    if (!(share >= 0 && share <= 1) || !(slack >= 0)) {
      throw new IllegalArgumentException("share must be from 0 to 1, slack not negative");
    }
  }

  /** Returns the part of its requests that each instance sends during the trial. */
  double trialShare() {
    return share * TRIAL_PART;
  }

  /** Returns the requests that all instances together send beyond the share during the trial. */
  int trialSlack() {
    return (int) (slack * TRIAL_SLACK_PART);
  }

  /** Returns the requests that may be sent during the move if the given number has arrived. */
  double moveAllowance(long arrived) {
    return (share - trialShare()) * arrived + MOVE_SLACK_PART * (slack - trialSlack());
  }
}
