package org.snipewick.placement;

import static java.util.Objects.requireNonNull;

import java.util.Set;
import org.snipewick.identity.EndpointId;
import org.snipewick.identity.Tier;

/**
 * Request that waits for a free slot at an endpoint.
 *
 * @param id identifier, unique among the waiting requests of a pool
 * @param tier tier, which decides its precedence
 * @param arrivedNanos monotonic time of its arrival, in nanoseconds
 * @param onTimeUntilNanos latest monotonic time at which its answer can begin and meet the target
 *     latency, in nanoseconds
 * @param latestResponseStartNanos latest monotonic time at which its answer can begin and still be
 *     of use to the caller, in nanoseconds
 * @param promptTokens tokens of its prompt, whose prefill precedes the first event of the answer
 * @param triedEndpoints endpoints that it was sent to before and is not sent to again
 * @param team name of its team; empty if it has none
 * @param precedenceNanos monotonic time by which it is ordered among others, in nanoseconds
 * @param filter restricts the endpoints that it may be sent to
 */
public record WaitingRequest(
    String id,
    Tier tier,
    long arrivedNanos,
    long onTimeUntilNanos,
    long latestResponseStartNanos,
    long promptTokens,
    Set<EndpointId> triedEndpoints,
    String team,
    long precedenceNanos,
    EndpointFilter filter) {

  /** Checks that no component is null and copies the set. */
  public WaitingRequest {
    requireNonNull(id, "id");
    requireNonNull(tier, "tier");
    requireNonNull(team, "team");
    requireNonNull(filter, "filter");
    triedEndpoints = Set.copyOf(triedEndpoints);
  }

  /**
   * Creates a request without a team, which is ordered by its arrival and may be sent to any
   * endpoint.
   *
   * @param id identifier, unique among the waiting requests of a pool
   * @param tier tier, which decides its precedence
   * @param arrivedNanos monotonic time of its arrival, in nanoseconds
   * @param onTimeUntilNanos latest monotonic time at which its answer can begin and meet the target
   *     latency, in nanoseconds
   * @param latestResponseStartNanos latest monotonic time at which its answer can begin and still
   *     be of use to the caller, in nanoseconds
   * @param promptTokens tokens of its prompt
   * @param triedEndpoints endpoints that it was sent to before
   */
  public WaitingRequest(
      String id,
      Tier tier,
      long arrivedNanos,
      long onTimeUntilNanos,
      long latestResponseStartNanos,
      long promptTokens,
      Set<EndpointId> triedEndpoints) {
    this(
        id,
        tier,
        arrivedNanos,
        onTimeUntilNanos,
        latestResponseStartNanos,
        promptTokens,
        triedEndpoints,
        "",
        arrivedNanos,
        EndpointFilter.ANY);
  }

  /**
   * Returns this request as one of a team.
   *
   * @param name name of the team; empty if it has none
   * @return request that is otherwise the same
   */
  public WaitingRequest withTeam(String name) {
    return new WaitingRequest(
        id,
        tier,
        arrivedNanos,
        onTimeUntilNanos,
        latestResponseStartNanos,
        promptTokens,
        triedEndpoints,
        name,
        precedenceNanos,
        filter);
  }

  /**
   * Returns this request with a restriction of its endpoints.
   *
   * @param restriction endpoints that it may be sent to
   * @return request that is otherwise the same
   */
  public WaitingRequest withFilter(EndpointFilter restriction) {
    return new WaitingRequest(
        id,
        tier,
        arrivedNanos,
        onTimeUntilNanos,
        latestResponseStartNanos,
        promptTokens,
        triedEndpoints,
        team,
        precedenceNanos,
        restriction);
  }

  /** Returns this request, ordered by another time. */
  WaitingRequest withPrecedence(long nanos) {
    return new WaitingRequest(
        id,
        tier,
        arrivedNanos,
        onTimeUntilNanos,
        latestResponseStartNanos,
        promptTokens,
        triedEndpoints,
        team,
        nanos,
        filter);
  }
}
