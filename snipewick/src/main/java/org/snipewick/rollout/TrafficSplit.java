package org.snipewick.rollout;

import org.snipewick.identity.PoolName;

/** Divides the requests to a pool between the versions of its endpoints. */
public interface TrafficSplit {
  /** Uses all endpoints alike. */
  TrafficSplit NONE =
      new TrafficSplit() {
        @Override
        public void countRequest(PoolName pool) {}

        @Override
        public RequestVersion choose(PoolName pool, String route, boolean isRetry) {
          return RequestVersion.ANY;
        }
      };

  /**
   * Counts a request that reaches a pool.
   *
   * @param pool pool
   */
  void countRequest(PoolName pool);

  /**
   * Chooses the version for an attempt.
   *
   * @param pool pool
   * @param route name of the request's route
   * @param isRetry whether an endpoint received the request before
   * @return chosen version
   */
  RequestVersion choose(PoolName pool, String route, boolean isRetry);
}
