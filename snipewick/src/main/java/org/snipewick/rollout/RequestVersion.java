package org.snipewick.rollout;

import org.snipewick.placement.EndpointFilter;
import org.snipewick.registry.RegisteredEndpoint;

/**
 * Version of the endpoints that was chosen for one attempt of a request, and what becomes of it.
 * Used on one thread only.
 */
public interface RequestVersion {
  /** Any version; nothing is recorded. */
  RequestVersion ANY =
      new RequestVersion() {
        @Override
        public EndpointFilter filter() {
          return EndpointFilter.ANY;
        }

        @Override
        public boolean isHeld() {
          return false;
        }

        @Override
        public void started(RegisteredEndpoint endpoint, long nowNanos) {}

        @Override
        public void responded(long nowNanos) {}

        @Override
        public void spaced(double nanosPerEvent) {}

        @Override
        public void failed() {}

        @Override
        public void end(long nowNanos) {}
      };

  /**
   * Returns the endpoints that the request may be sent to.
   *
   * @return filter, whose answers follow the phase of the order
   */
  EndpointFilter filter();

  /**
   * Returns whether no version may receive the request at the moment.
   *
   * @return whether a version is to be chosen again a little later
   */
  boolean isHeld();

  /**
   * Records that the request is sent to an endpoint.
   *
   * @param endpoint endpoint
   * @param nowNanos monotonic time, in nanoseconds
   */
  void started(RegisteredEndpoint endpoint, long nowNanos);

  /**
   * Records that the answer, or the first event of a stream, has arrived.
   *
   * @param nowNanos monotonic time, in nanoseconds
   */
  void responded(long nowNanos);

  /**
   * Records the mean time between the events of a stream.
   *
   * @param nanosPerEvent nanoseconds
   */
  void spaced(double nanosPerEvent);

  /** Records a response with status 5xx, or one that broke off. */
  void failed();

  /**
   * Records that the request has ended or that another version will be chosen for it; further calls
   * have no effect.
   *
   * @param nowNanos monotonic time, in nanoseconds
   */
  void end(long nowNanos);
}
