package org.snipewick.feed;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import org.snipewick.store.PollSchedule;

/**
 * Times of the reads of a shared table.
 *
 * @param polls polls of the store by an instance that follows no reader; the pause after a change
 *     applies to all polls of the store
 * @param readerWait maximum time that the store waits for a change in a reader's poll. The proof of
 *     a reader is up to two such waits old, those of its followers a little more.
 */
public record FeedSchedule(PollSchedule polls, Duration readerWait) {
  /**
   * Time by which a follower waits longer than a reader's poll, so that a reply carries the result
   * of that poll. Covers the calls themselves and a stall of a process for one CPU quota period.
   */
  private static final Duration FOLLOWER_WAIT_MARGIN = Duration.ofMillis(200);

  /** Time for a reply beyond the wait; two CPU quota periods of 100 ms. */
  private static final Duration REPLY_MARGIN = Duration.ofMillis(200);

  /** Age beyond that of a reader's oldest proof at which a follower calls the store itself. */
  private static final Duration PROOF_AGE_MARGIN = Duration.ofMillis(500);

  /**
   * Checks the components.
   *
   * @throws IllegalArgumentException if the wait is negative
   */
  public FeedSchedule {
    requireNonNull(polls, "polls");
    requireNonNull(readerWait, "readerWait");
    if (readerWait.isNegative()) {
      throw new IllegalArgumentException("readerWait must not be negative");
    }
  }

  /** Returns the maximum time that a reader waits for a change or a newer proof. */
  Duration followerWait() {
    return readerWait.plus(FOLLOWER_WAIT_MARGIN);
  }

  /** Returns the time after which a query without a reply has failed. */
  Duration replyTimeout() {
    return followerWait().plus(REPLY_MARGIN);
  }

  /** Returns the age of a follower's proof at which it calls the store itself. */
  Duration maxProofAge() {
    return readerWait.multipliedBy(2).plus(polls.pauseAfterChange()).plus(PROOF_AGE_MARGIN);
  }
}
