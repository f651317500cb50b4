package org.snipewick.placement;

import org.snipewick.identity.PoolName;

/**
 * Decides at which endpoint each request runs and which requests wait. Not thread-safe: all calls
 * must run on one thread, on which listeners are notified too.
 */
public interface RequestPlacer {

  /**
   * Queues a request. The decision may follow before this method returns.
   *
   * @param pool pool of the request
   * @param request request, whose identifier is unique among all waiting requests
   * @param listener receives exactly one decision, or none if the request is withdrawn before
   */
  void place(PoolName pool, WaitingRequest request, PlacementListener listener);

  /**
   * Withdraws a request whose caller disconnected or whose deadline passed. Has no effect after the
   * decision.
   *
   * @param pool pool of the request
   * @param requestId identifier of the request
   */
  void withdraw(PoolName pool, String requestId);

  /**
   * Decides about the waiting requests of a pool after slots may have become free.
   *
   * @param pool pool
   */
  void decide(PoolName pool);
}
