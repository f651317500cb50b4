package org.snipewick.discovery;

import static java.util.Objects.requireNonNull;

import org.snipewick.identity.EndpointId;
import org.snipewick.identity.PoolName;
import org.snipewick.pool.EndpointStatus;
import org.snipewick.pool.PoolController;

/** Listener for changes of the endpoints of the local failure domain. */
public interface EndpointListener {

  /**
   * Returns a listener that notifies the schedulers of this instance.
   *
   * @param controller controller of the schedulers
   * @return listener
   */
  static EndpointListener forwardingTo(PoolController controller) {
    requireNonNull(controller, "controller");
    return new EndpointListener() {
      @Override
      public void onChanged(PoolName pool, EndpointStatus status) {
        controller.updateEndpoint(pool, status);
      }

      @Override
      public void onReported(EndpointId endpoint) {
        controller.recordLoadReport(endpoint);
      }

      @Override
      public void onRemoved(PoolName pool, EndpointId endpoint) {
        controller.removeEndpoint(pool, endpoint);
      }
    };
  }

  /**
   * Called when an endpoint has been listed or its status may have changed.
   *
   * @param pool pool of a model or service
   * @param status current status
   */
  void onChanged(PoolName pool, EndpointStatus status);

  /**
   * Called after each load report of a scheduled endpoint, and after each failed read of its
   * reports while it is unreachable, also if its status is unchanged.
   *
   * @param endpoint endpoint
   */
  void onReported(EndpointId endpoint);

  /**
   * Called when an endpoint is no longer listed.
   *
   * @param pool pool of a model or service
   * @param endpoint endpoint
   */
  void onRemoved(PoolName pool, EndpointId endpoint);
}
