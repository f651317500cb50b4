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
    EndpointFilter filter) {

  /** Checks that no component is null and copies the set. */
  public WaitingRequest {
    requireNonNull(id, "id");
    requireNonNull(tier, "tier");
    requireNonNull(filter, "filter");
    triedEndpoints = Set.copyOf(triedEndpoints);
  }

  /**
   * Creates a request that may be sent to any endpoint.
   *
   * @param id identifier
   * @param tier tier
   * @param arrivedNanos time of its arrival
   * @param onTimeUntilNanos latest time at which its answer can begin and meet the target latency
   * @param latestResponseStartNanos latest time at which its answer can begin and be of use
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
        EndpointFilter.ANY);
  }
}
