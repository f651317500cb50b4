package org.snipewick.route;

import static java.util.Objects.requireNonNull;

import org.snipewick.identity.PoolName;

/**
 * A pool with its share in the requests of a route.
 *
 * @param pool endpoints that serve the requests
 * @param weight share relative to the other pools of the route, not negative
 */
public record WeightedPool(PoolName pool, int weight) {

  /** Checks the parts. */
  public WeightedPool {
    requireNonNull(pool, "pool");
    if (weight < 0) {
      throw new IllegalArgumentException("weight must not be negative but is " + weight);
    }
  }
}
