package org.snipewick.route;

import static java.util.Objects.requireNonNull;

import org.snipewick.identity.PoolName;

/**
 * A pool and its share of the requests of a route.
 *
 * @param pool name of the pool
 * @param weight share relative to the other pools of the route, not negative
 */
public record WeightedPool(PoolName pool, int weight) {

  /**
   * Checks the components.
   *
   * @throws IllegalArgumentException if the weight is negative
   */
  public WeightedPool {
    requireNonNull(pool, "pool");
    if (weight < 0) {
      throw new IllegalArgumentException("weight must not be negative but is " + weight);
    }
  }
}
