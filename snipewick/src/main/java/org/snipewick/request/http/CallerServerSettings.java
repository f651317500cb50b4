package org.snipewick.request.http;

import static java.util.Objects.requireNonNull;

import java.net.InetSocketAddress;
import java.time.Duration;

/**
 * Settings of the callers' HTTP front.
 *
 * @param bind address to listen on; port 0 takes a free one
 * @param workers number of event loops that serve connections
 * @param maxBodyBytes largest body of a request, in bytes
 * @param headerTimeout longest time for the head of a request to arrive
 * @param bodyTimeout longest time for the body of a request to arrive
 */
public record CallerServerSettings(
    InetSocketAddress bind,
    int workers,
    int maxBodyBytes,
    Duration headerTimeout,
    Duration bodyTimeout) {

  private static final int DEFAULT_WORKERS = 2;
  private static final int DEFAULT_MAX_BODY_BYTES = 4 * 1024 * 1024;
  private static final Duration DEFAULT_HEADER_TIMEOUT = Duration.ofSeconds(10);
  private static final Duration DEFAULT_BODY_TIMEOUT = Duration.ofSeconds(20);

  /** Checks the parts. */
  public CallerServerSettings {
    requireNonNull(bind, "bind");
    requireNonNull(headerTimeout, "headerTimeout");
    requireNonNull(bodyTimeout, "bodyTimeout");
    if (workers < 1 || maxBodyBytes < 1) {
      throw new IllegalArgumentException("workers and maxBodyBytes must be positive");
    }
  }

  /**
   * Returns the default settings.
   *
   * @param bind address to listen on
   * @return settings
   */
  public static CallerServerSettings of(InetSocketAddress bind) {
    return new CallerServerSettings(
        bind,
        DEFAULT_WORKERS,
        DEFAULT_MAX_BODY_BYTES,
        DEFAULT_HEADER_TIMEOUT,
        DEFAULT_BODY_TIMEOUT);
  }

  /**
   * Returns these settings with other time-outs of slow callers.
   *
   * @param head longest time for the head of a request to arrive
   * @param body longest time for the body of a request to arrive
   * @return changed copy
   */
  public CallerServerSettings withTimeouts(Duration head, Duration body) {
    return new CallerServerSettings(bind, workers, maxBodyBytes, head, body);
  }

  /**
   * Returns these settings with another number of event loops and another limit of bodies.
   *
   * @param changedWorkers event loops that serve callers, positive
   * @param changedMaxBodyBytes largest body of a request in bytes, positive
   * @return changed copy
   */
  public CallerServerSettings withSizes(int changedWorkers, int changedMaxBodyBytes) {
    return new CallerServerSettings(
        bind, changedWorkers, changedMaxBodyBytes, headerTimeout, bodyTimeout);
  }
}
