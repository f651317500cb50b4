package org.snipewick.route;

import static java.util.Objects.requireNonNull;

import java.time.Duration;

/**
 * Limits on the size and the timing of what callers send.
 *
 * @param maxBodyBytes maximum length of a request's body, not negative
 * @param headerTimeout maximum time until the head of a request is received
 * @param idleTimeout maximum time that a connection may be idle
 */
public record CallerLimits(int maxBodyBytes, Duration headerTimeout, Duration idleTimeout) {

  /**
   * Checks the components.
   *
   * @throws IllegalArgumentException if the length is negative
   */
  public CallerLimits {
    requireNonNull(headerTimeout, "headerTimeout");
    requireNonNull(idleTimeout, "idleTimeout");
    if (maxBodyBytes < 0) {
      throw new IllegalArgumentException("maxBodyBytes must not be negative");
    }
  }
}
