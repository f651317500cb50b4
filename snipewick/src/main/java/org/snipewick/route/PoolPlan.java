package org.snipewick.route;

import static java.util.Objects.requireNonNull;

import org.snipewick.identity.PoolName;

/**
 * Configuration of a pool.
 *
 * @param name name of the pool
 * @param maxConnections maximum number of connections to one of its endpoints over all callers, at
 *     least 1
 */
public record PoolPlan(PoolName name, int maxConnections) {

  /**
   * Checks the components.
   *
   * @throws IllegalArgumentException if {@code maxConnections} is less than 1
   */
  public PoolPlan {
    requireNonNull(name, "name");
    if (maxConnections < 1) {
      throw new IllegalArgumentException("maxConnections must be at least 1 for pool " + name);
    }
  }
}
