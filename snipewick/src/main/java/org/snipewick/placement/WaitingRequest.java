package org.snipewick.placement;

import static java.util.Objects.requireNonNull;

import java.util.Set;
import org.snipewick.identity.EndpointId;
import org.snipewick.identity.Tier;

/**
 * A request that waits for a place at an endpoint.
 *
 * @param id identifier that the caller gave it
 * @param tier class
 * @param arrivedNanos monotonic time of its arrival
 * @param targetNanos monotonic time until which its first answer is on time
 * @param lastStartNanos monotonic time after which an answer would begin too late for its caller
 * @param promptTokens tokens of its prompt, which an endpoint reads before the first event
 * @param tried endpoints that it was sent to before
 */
public record WaitingRequest(
    String id,
    Tier tier,
    long arrivedNanos,
    long targetNanos,
    long lastStartNanos,
    long promptTokens,
    Set<EndpointId> tried) {

  /** Checks and copies the parts. */
  public WaitingRequest {
    requireNonNull(id, "id");
    requireNonNull(tier, "tier");
    tried = Set.copyOf(tried);
  }
}
