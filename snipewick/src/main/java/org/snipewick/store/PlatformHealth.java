package org.snipewick.store;

import java.time.Duration;

/** Availability of the platform to this instance, as shown by the latest calls. */
public interface PlatformHealth {

  /**
   * Returns whether calls are sent to the platform; while it is false, they fail at once.
   *
   * @return false from several consecutive failures until a probe succeeds
   */
  boolean isAvailable();

  /**
   * Returns the time after which a caller should retry a request that needs the platform.
   *
   * @return time from now, long enough for the next probe to be sent and answered
   */
  Duration retryAfter();
}
