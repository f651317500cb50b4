package org.snipewick.pool;

import java.util.Map;
import java.util.Optional;
import org.snipewick.identity.Tier;

/**
 * State of a scheduler in brief.
 *
 * @param waiting waiting requests by tier
 * @param inFlight granted requests that have not finished
 * @param liveEndpoints endpoints that take new work
 * @param shedTier highest tier that was shed in the last second, if any
 */
public record PoolSummary(
    Map<Tier, Integer> waiting, int inFlight, int liveEndpoints, Optional<Tier> shedTier) {

  /** Copies the parts. */
  public PoolSummary {
    waiting = Map.copyOf(waiting);
  }
}
