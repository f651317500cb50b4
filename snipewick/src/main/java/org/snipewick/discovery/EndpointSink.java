package org.snipewick.discovery;

import static java.util.Objects.requireNonNull;

import org.snipewick.identity.EndpointId;
import org.snipewick.identity.PoolName;
import org.snipewick.pool.EndpointStatus;
import org.snipewick.pool.PoolController;

/** Receives what is found out about the endpoints of the pools that this instance schedules. */
public interface EndpointSink {

  /**
   * Returns a sink that tells the schedulers of this instance.
   *
   * @param controller schedulers
   * @return sink
   */
  static EndpointSink to(PoolController controller) {
    requireNonNull(controller, "controller");
    return new EndpointSink() {
      @Override
      public void changed(PoolName pool, EndpointStatus status) {
        controller.endpointStatus(pool, status);
      }

      @Override
      public void reported(EndpointId endpoint) {
        controller.endpointReported(endpoint);
      }

      @Override
      public void removed(PoolName pool, EndpointId endpoint) {
        controller.endpointRemoved(pool, endpoint);
      }
    };
  }

  /**
   * An endpoint is new or has changed.
   *
   * @param pool model or service
   * @param status what is known now
   */
  void changed(PoolName pool, EndpointStatus status);

  /**
   * A scheduled endpoint has reported, or its reports are missed; called also without a change.
   *
   * @param endpoint the endpoint
   */
  void reported(EndpointId endpoint);

  /**
   * An endpoint no longer exists.
   *
   * @param pool model or service
   * @param endpoint the endpoint
   */
  void removed(PoolName pool, EndpointId endpoint);
}
