package org.snipewick.endpoint;

import java.util.Collection;
import org.snipewick.pool.EndpointStatus;

/** Endpoints that this instance schedules. */
@FunctionalInterface
public interface ScheduledEndpoints {

  /**
   * Lists the endpoints.
   *
   * @return status of each by the platform's list and the catalogue
   */
  Collection<EndpointStatus> current();
}
