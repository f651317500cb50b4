package org.snipewick.store;

import java.time.Duration;

/** Whether the platform responds to this instance, by the latest calls. */
public interface PlatformHealth {

  /**
   * Returns whether calls are sent to the platform; while it is false, they fail at once.
   *
   * @return false from several consecutive failures until a probe succeeds
   */
  boolean isAvailable();

  /**
   * Returns after what time a caller should retry a request that needs the platform.
   *
   * @return time from now by which the next probe can have been answered
   */
  Duration retryAfter();
}
