package org.snipewick.pool;

import java.util.Map;
import java.util.Optional;
import org.snipewick.identity.Tier;

/**
 * Summary of the state of a scheduler.
 *
 * @param waiting number of waiting requests by tier
 * @param inFlight number of granted requests that have not ended
 * @param liveEndpoints number of endpoints that accept new requests
 * @param shedTier highest tier of which a request was shed in the last second; empty if none was
 */
public record PoolSummary(
    Map<Tier, Integer> waiting, int inFlight, int liveEndpoints, Optional<Tier> shedTier) {

  /** Copies the map. */
  public PoolSummary {
    waiting = Map.copyOf(waiting);
  }
}
