package org.snipewick.limits;

import java.util.Optional;
import org.snipewick.failure.Failure;
import org.snipewick.identity.TeamName;

/** Decides without a message whether a team may send one more request. */
public interface TeamLimits {

  /**
   * Takes a request into account.
   *
   * @param team team of the caller
   * @param tokens prompt tokens and expected output tokens; 0 for a plain service
   * @return empty if it may go on; otherwise {@link
   *     org.snipewick.failure.FailureType#LIMIT_EXCEEDED} with a time to come back
   */
  Optional<Failure> tryAcquire(TeamName team, long tokens);

  /**
   * Ends a request that was taken into account.
   *
   * @param team team of the caller
   * @param reserved tokens given to {@link #tryAcquire}
   * @param used tokens really used
   */
  void release(TeamName team, long reserved, long used);
}
