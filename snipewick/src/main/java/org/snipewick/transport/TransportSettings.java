package org.snipewick.transport;

import static java.util.Objects.requireNonNull;

import java.time.Duration;

/**
 * Limits of an HTTP client.
 *
 * @param connectTimeout maximum time to establish a connection
 * @param readWriteTimeout maximum time of a request on its connection
 * @param maxBodyBytes maximum size of a response body, in bytes
 */
public record TransportSettings(
    Duration connectTimeout, Duration readWriteTimeout, int maxBodyBytes) {
  /** Longer than any request; requests are cancelled earlier by the timers of their senders. */
  private static final Duration LONGEST_READ_WRITE_TIMEOUT = Duration.ofMinutes(11);

  /** Checks the components. */
  public TransportSettings {
    requireNonNull(connectTimeout, "connectTimeout");
    requireNonNull(readWriteTimeout, "readWriteTimeout");
    if (maxBodyBytes <= 0) {
      throw new IllegalArgumentException("maximum must be positive: " + maxBodyBytes);
    }
  }

  /**
   * Returns settings of a client whose senders bound the size of bodies and the time of requests.
   *
   * @param connectTimeout maximum time to establish a connection
   * @return settings
   */
  public static TransportSettings of(Duration connectTimeout) {
    return new TransportSettings(connectTimeout, LONGEST_READ_WRITE_TIMEOUT, Integer.MAX_VALUE);
  }

  /**
   * Returns these settings with another limit of bodies.
   *
   * @param bytes maximum size of a response body, in bytes
   * @return changed settings
   */
  public TransportSettings withMaxBodyBytes(int bytes) {
    return new TransportSettings(connectTimeout, readWriteTimeout, bytes);
  }
}
