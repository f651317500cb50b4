package org.snipewick.placement;

import static java.util.Objects.requireNonNull;

import java.util.Set;
import org.snipewick.identity.EndpointId;
import org.snipewick.identity.Tier;

/**
 * Request that waits for a free slot at an endpoint.
 *
 * @param id identifier given by the caller
 * @param tier tier, which decides its precedence
 * @param arrivedNanos monotonic time of its arrival, in nanoseconds
 * @param onTimeUntilNanos monotonic time until which the beginning of its answer is on time, in
 *     nanoseconds
 * @param lastStartNanos monotonic time after which an answer would begin too late for the caller,
 *     in nanoseconds
 * @param promptTokens tokens of its prompt, whose prefill precedes the first event of the answer
 * @param triedEndpoints endpoints that it was sent to before and is not sent to again
 */
public record WaitingRequest(
    String id,
    Tier tier,
    long arrivedNanos,
    long onTimeUntilNanos,
    long lastStartNanos,
    long promptTokens,
    Set<EndpointId> triedEndpoints) {

  /** Checks that no component is null and copies the set. */
  public WaitingRequest {
    requireNonNull(id, "id");
    requireNonNull(tier, "tier");
    triedEndpoints = Set.copyOf(triedEndpoints);
  }
}
