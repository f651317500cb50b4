package org.snipewick.route;

import static java.util.Objects.requireNonNull;

import org.snipewick.identity.PoolName;

/**
 * A pool as operators have set it.
 *
 * @param name name
 * @param maxConnections connections that an endpoint accepts from all callers together
 */
public record PoolPlan(PoolName name, int maxConnections) {

  /** Checks the parts. */
  public PoolPlan {
    requireNonNull(name, "name");
    if (maxConnections < 1) {
      throw new IllegalArgumentException("an endpoint must accept a connection: " + name);
    }
  }
}
