package org.snipewick.placement;

import org.snipewick.registry.RegisteredEndpoint;

/**
 * Restricts the endpoints that a request may be sent to. Requests with the same filter are placed
 * in the order of the queue; those with different ones do not wait for each other.
 */
@FunctionalInterface
public interface EndpointFilter {
  /** Allows all endpoints. */
  EndpointFilter ANY = endpoint -> true;

  /**
   * Returns whether a request may be sent to an endpoint now.
   *
   * @param endpoint endpoint of the pool
   * @return whether it is allowed
   */
  boolean allows(RegisteredEndpoint endpoint);
}
