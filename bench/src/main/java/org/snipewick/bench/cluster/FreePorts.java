package org.snipewick.bench.cluster;

import java.io.IOException;
import java.net.ServerSocket;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Ports below those that the system gives to outgoing connections, so that they stay free. Test
 * processes that run side by side take theirs from ranges of their own.
 */
final class FreePorts {
  private static final int RANGES = 6;
  private static final int PORTS = 3_000;
  private static final int FIRST_LOCK_PORT = 11_990;

  /** Held as long as this JVM lives, so that no other one uses the same range of ports. */
  private static final ServerSocket RANGE_LOCK = lockRange();

  private static final int FIRST_PORT =
      12_000 + PORTS * (RANGE_LOCK.getLocalPort() - FIRST_LOCK_PORT);
  private static final int PORTS_PER_PROCESS = 331;
  private static final AtomicInteger NEXT =
      new AtomicInteger((int) (ProcessHandle.current().pid() * PORTS_PER_PROCESS));

  private FreePorts() {}

  private static ServerSocket lockRange() {
    for (int range = 0; range < RANGES; range++) {
      try {
        return new ServerSocket(FIRST_LOCK_PORT + range);
      } catch (IOException taken) {
        continue;
      }
    }
    throw new IllegalStateException("all " + RANGES + " ranges of ports are in use");
  }

  /**
   * Returns a port on which nobody listens, each time another one.
   *
   * @return TCP port
   */
  static int next() {
    while (true) {
      int port = FIRST_PORT + Math.floorMod(NEXT.getAndIncrement(), PORTS);
      try (ServerSocket socket = new ServerSocket(port)) {
        return socket.getLocalPort();
      } catch (IOException taken) {
        continue;
      }
    }
  }
}
