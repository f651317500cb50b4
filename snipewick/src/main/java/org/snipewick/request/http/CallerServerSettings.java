package org.snipewick.request.http;

import static java.util.Objects.requireNonNull;

import java.net.InetSocketAddress;
import java.time.Duration;

/**
 * Settings of the HTTP server for callers.
 *
 * @param bind address to listen on; port 0 selects a free port
 * @param workers number of event loops that serve connections
 * @param maxBodyBytes maximum size of a request body, in bytes
 * @param headerTimeout maximum time for the request line and headers to arrive
 * @param bodyTimeout maximum time for the request body to arrive
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

  /**
   * Validates the components.
   *
   * @throws IllegalArgumentException if {@code workers} or {@code maxBodyBytes} is not positive
   */
  public CallerServerSettings {
    requireNonNull(bind, "bind");
    requireNonNull(headerTimeout, "headerTimeout");
    requireNonNull(bodyTimeout, "bodyTimeout");
    if (workers < 1 || maxBodyBytes < 1) {
      throw new IllegalArgumentException("workers and maxBodyBytes must be positive");
    }
  }

  /**
   * Returns default settings for an address.
   *
   * @param bind address to listen on; port 0 selects a free port
   * @return default settings
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
   * Returns a copy with other timeouts for slow callers.
   *
   * @param header maximum time for the request line and headers to arrive
   * @param body maximum time for the request body to arrive
   * @return changed copy
   */
  public CallerServerSettings withTimeouts(Duration header, Duration body) {
    return new CallerServerSettings(bind, workers, maxBodyBytes, header, body);
  }

  /**
   * Returns a copy with another number of event loops and another limit of the request body.
   *
   * @param newWorkers number of event loops that serve connections, positive
   * @param newMaxBodyBytes maximum size of a request body in bytes, positive
   * @return changed copy
   * @throws IllegalArgumentException if one of them is not positive
   */
  public CallerServerSettings withWorkersAndMaxBodyBytes(int newWorkers, int newMaxBodyBytes) {
    return new CallerServerSettings(bind, newWorkers, newMaxBodyBytes, headerTimeout, bodyTimeout);
  }
}
