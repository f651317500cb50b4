package org.snipewick.route;

import static java.util.Objects.requireNonNull;

import java.time.Duration;

/**
 * Bounds on what callers may send and for how long.
 *
 * @param maxBodyBytes longest body of a request
 * @param headerTimeout longest time for the head of a request
 * @param idleTimeout longest time that a connection may be idle
 */
public record CallerLimits(int maxBodyBytes, Duration headerTimeout, Duration idleTimeout) {

  /** Checks the bounds. */
  public CallerLimits {
    requireNonNull(headerTimeout, "headerTimeout");
    requireNonNull(idleTimeout, "idleTimeout");
    if (maxBodyBytes < 0) {
      throw new IllegalArgumentException("maxBodyBytes must not be negative");
    }
  }
}
