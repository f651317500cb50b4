package org.snipewick.transport;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.Optional;

/**
 * Limits of an HTTP client.
 *
 * @param connectTimeout maximum time to establish a connection
 * @param readWriteTimeout maximum time of a request on its connection
 * @param maxBodyBytes maximum size of a response body, in bytes
 * @param keepAlive how long a connection without a request is kept for the next one; empty if each
 *     request uses its own connection
 */
public record TransportSettings(
    Duration connectTimeout,
    Duration readWriteTimeout,
    int maxBodyBytes,
    Optional<Duration> keepAlive) {
  /** Longer than any request; requests are cancelled earlier by the timers of their senders. */
  private static final Duration LONGEST_READ_WRITE_TIMEOUT = Duration.ofMinutes(11);

  /** Checks the components. */
  public TransportSettings {
    requireNonNull(connectTimeout, "connectTimeout");
    requireNonNull(readWriteTimeout, "readWriteTimeout");
    requireNonNull(keepAlive, "keepAlive");
    if (maxBodyBytes <= 0) {
      throw new IllegalArgumentException("maximum must be positive: " + maxBodyBytes);
    }
  }

  /**
   * Returns settings with a connection for each request, whose senders bound the size of bodies and
   * the time of requests.
   *
   * @param connectTimeout maximum time to establish a connection
   * @return settings
   */
  public static TransportSettings of(Duration connectTimeout) {
    return new TransportSettings(
        connectTimeout, LONGEST_READ_WRITE_TIMEOUT, Integer.MAX_VALUE, Optional.empty());
  }

  /**
   * Returns these settings with another limit of bodies.
   *
   * @param bytes maximum size of a response body, in bytes
   * @return changed settings
   */
  public TransportSettings withMaxBodyBytes(int bytes) {
    return new TransportSettings(connectTimeout, readWriteTimeout, bytes, keepAlive);
  }

  /**
   * Returns these settings with another limit of time.
   *
   * @param timeout maximum time of a request on its connection
   * @return changed settings
   */
  public TransportSettings withReadWriteTimeout(Duration timeout) {
    return new TransportSettings(connectTimeout, timeout, maxBodyBytes, keepAlive);
  }

  /**
   * Returns these settings with connections that are kept for further requests.
   *
   * @param time how long a connection without a request is kept
   * @return changed settings
   */
  public TransportSettings withKeepAlive(Duration time) {
    return new TransportSettings(connectTimeout, readWriteTimeout, maxBodyBytes, Optional.of(time));
  }
}
