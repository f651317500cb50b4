package org.snipewick.placement;

import static java.util.Objects.requireNonNull;

import org.snipewick.identity.EndpointId;

/**
 * Requests of this instance that peers have placed and report as in flight. They are counted apart
 * from those that this instance has placed, so that each is reported once. Not thread-safe.
 */
public final class PeerPlacements {
  private final PoolPlacement pool;
  private final EndpointLoads loads;
  private final ResidenceTime residenceTime;

  PeerPlacements(PoolPlacement pool, EndpointLoads loads, ResidenceTime residenceTime) {
    this.pool = requireNonNull(pool, "pool");
    this.loads = requireNonNull(loads, "loads");
    this.residenceTime = requireNonNull(residenceTime, "residenceTime");
  }

  /**
   * Counts a request.
   *
   * @param endpoint endpoint at which a peer has placed it
   */
  public void begin(EndpointId endpoint) {
    loads.find(endpoint).ifPresent(EndpointLoad::beginPlacedByPeer);
  }

  /**
   * Counts a request as in flight from this instance, because the peer may no longer report it.
   *
   * @param endpoint endpoint at which it was placed
   * @param promptTokens tokens of its prompt, 0 if its prefill has ended
   * @param placedNanos monotonic time at which it was placed, in nanoseconds
   * @return grant, which replaces that of the peer
   */
  public PlacementGrant adopt(EndpointId endpoint, long promptTokens, long placedNanos) {
    loads
        .find(endpoint)
        .ifPresent(
            load -> {
              load.endPlacedByPeer();
              load.begin(promptTokens);
            });
    return new LocalGrant(pool, endpoint, promptTokens, placedNanos);
  }

  /**
   * Records that a request is no longer in flight.
   *
   * @param endpoint endpoint at which it was placed
   * @param result how the request ended
   * @param placedNanos monotonic time at which it was placed, in nanoseconds
   * @param nowNanos current monotonic time, in nanoseconds
   */
  public void end(EndpointId endpoint, AttemptResult result, long placedNanos, long nowNanos) {
    if (result == AttemptResult.ANSWERED) {
      residenceTime.add(nowNanos - placedNanos);
    }
    loads
        .find(endpoint)
        .ifPresent(
            load -> {
              load.endPlacedByPeer();
              load.recordResult(result, nowNanos);
            });
  }
}
