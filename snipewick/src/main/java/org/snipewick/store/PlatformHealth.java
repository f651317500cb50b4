package org.snipewick.store;

import java.time.Duration;

/** Whether the platform answers this instance, as its adapter last saw it. */
public interface PlatformHealth {

  /**
   * Tells whether calls are sent to the platform; while it is false they fail at once.
   *
   * @return false from several failures in a row until a probe has been answered
   */
  boolean isAvailable();

  /**
   * Returns when coming back makes sense for a caller whose request needs the platform.
   *
   * @return time from now until the next probe can have been answered
   */
  Duration retryAfter();
}
