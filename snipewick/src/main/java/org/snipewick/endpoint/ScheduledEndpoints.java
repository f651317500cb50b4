package org.snipewick.endpoint;

import java.util.Collection;
import org.snipewick.pool.EndpointStatus;

/** Source of the endpoints that this instance schedules. */
@FunctionalInterface
public interface ScheduledEndpoints {

  /**
   * Returns the endpoints that this instance schedules now.
   *
   * @return status of each endpoint according to the list of endpoints and the catalogue
   */
  Collection<EndpointStatus> current();
}
