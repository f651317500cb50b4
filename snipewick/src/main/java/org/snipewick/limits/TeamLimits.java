package org.snipewick.limits;

import java.util.Optional;
import org.snipewick.failure.Failure;
import org.snipewick.identity.TeamName;

/** Limits on the requests of teams; decides locally, without a message to other instances. */
public interface TeamLimits {

  /**
   * Admits a request if the limits of its team allow it.
   *
   * @param team team of the caller
   * @param tokens prompt tokens and expected output tokens; 0 for a plain service
   * @return empty if the request is admitted; otherwise {@link
   *     org.snipewick.failure.FailureType#LIMIT_EXCEEDED} with a time after which to retry, or
   *     {@link org.snipewick.failure.FailureType#FORBIDDEN} if the team is unknown
   */
  Optional<Failure> tryAcquire(TeamName team, long tokens);

  /**
   * Ends an admitted request and corrects its tokens to those used.
   *
   * @param team team of the caller
   * @param reserved tokens given to {@link #tryAcquire}
   * @param used tokens that the request used
   */
  void release(TeamName team, long reserved, long used);
}
