package org.snipewick.discovery;

import org.snipewick.identity.EndpointId;
import org.snipewick.identity.PoolName;
import org.snipewick.pool.EndpointStatus;

/** Receives what is found out about the endpoints of the pools that this instance schedules. */
public interface EndpointSink {

  /**
   * An endpoint is new or has changed.
   *
   * @param pool model or service
   * @param status what is known now
   */
  void changed(PoolName pool, EndpointStatus status);

  /**
   * An endpoint no longer exists.
   *
   * @param pool model or service
   * @param endpoint the endpoint
   */
  void removed(PoolName pool, EndpointId endpoint);
}
