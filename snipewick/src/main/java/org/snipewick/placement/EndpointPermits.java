package org.snipewick.placement;

import java.util.OptionalDouble;
import org.snipewick.identity.EndpointId;

/**
 * Permits for requests to endpoints that take a limited number per second from all instances
 * together. A queue uses one permit for each request that it places at such an endpoint.
 */
public interface EndpointPermits {
  /** Permits of a system in which no endpoint names a limit. */
  EndpointPermits UNLIMITED =
      new EndpointPermits() {
        @Override
        public OptionalDouble requestsPerSecond(EndpointId endpoint) {
          return OptionalDouble.empty();
        }

        @Override
        public boolean isAvailable(EndpointId endpoint, long nowNanos) {
          return true;
        }

        @Override
        public void use(EndpointId endpoint, long nowNanos) {}

        @Override
        public long expectedWaitNanos(EndpointId endpoint, long nowNanos) {
          return 0;
        }
      };

  /**
   * Returns the limit of an endpoint.
   *
   * @param endpoint endpoint
   * @return requests per second from all instances together; empty if it names no limit
   */
  OptionalDouble requestsPerSecond(EndpointId endpoint);

  /**
   * Returns whether a request may be placed now. If not, a permit is requested, so that the queue
   * should decide again a little later.
   *
   * @param endpoint endpoint at which a waiting request could be placed
   * @param nowNanos current monotonic time, in nanoseconds
   * @return whether the endpoint has no limit or a permit is in hand
   */
  boolean isAvailable(EndpointId endpoint, long nowNanos);

  /**
   * Uses a permit that is available; does nothing if the endpoint has no limit.
   *
   * @param endpoint endpoint at which a request is placed
   * @param nowNanos current monotonic time, in nanoseconds
   */
  void use(EndpointId endpoint, long nowNanos);

  /**
   * Estimates the time until a permit can be obtained.
   *
   * @param endpoint endpoint
   * @param nowNanos current monotonic time, in nanoseconds
   * @return time in nanoseconds; 0 if a permit is in hand or nothing is known yet
   */
  long expectedWaitNanos(EndpointId endpoint, long nowNanos);
}
