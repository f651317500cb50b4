package org.snipewick.transport;

import com.sun.management.UnixOperatingSystemMXBean;
import java.lang.management.ManagementFactory;

/**
 * Maximum number of callers' connections of a process. Answers a load of callers that open
 * connections and do not finish their requests: without a limit, no descriptor is left for
 * connections to endpoints and the store, and accepting fails again and again.
 *
 * @param maxConnections maximum number of open connections
 */
public record ConnectionLimit(int maxConnections) {
  /** A relayed request holds two descriptors: its caller's connection and its endpoint's. */
  private static final int DESCRIPTORS_PER_REQUEST = 2;

  /**
   * Heap per connection: its read buffer has 16 KiB, so that the buffers of all connections take at
   * most a quarter of the heap.
   */
  private static final long HEAP_BYTES_PER_CONNECTION = 64 * 1024;

  /** Checks the component. */
  public ConnectionLimit {
    if (maxConnections <= 0) {
      throw new IllegalArgumentException("maximum must be positive: " + maxConnections);
    }
  }

  /**
   * Returns the limit for this process, from its heap and its limit of open descriptors.
   *
   * @return limit
   */
  public static ConnectionLimit ofProcess() {
    long maxDescriptors =
        ManagementFactory.getOperatingSystemMXBean() instanceof UnixOperatingSystemMXBean system
            ? system.getMaxFileDescriptorCount()
            : Integer.MAX_VALUE;
    return of(maxDescriptors, Runtime.getRuntime().maxMemory());
  }

  /**
   * Returns the limit of one of several event loops that share this limit.
   *
   * @param eventloops number of event loops, positive
   * @return limit of each
   */
  public ConnectionLimit divide(int eventloops) {
    return new ConnectionLimit(Math.max(1, maxConnections / eventloops));
  }

  /** Returns the limit for a number of descriptors and a heap. */
  static ConnectionLimit of(long maxDescriptors, long heapBytes) {
    long connections =
        Math.min(maxDescriptors / DESCRIPTORS_PER_REQUEST, heapBytes / HEAP_BYTES_PER_CONNECTION);
    return new ConnectionLimit((int) Math.max(1, Math.min(connections, Integer.MAX_VALUE)));
  }
}
