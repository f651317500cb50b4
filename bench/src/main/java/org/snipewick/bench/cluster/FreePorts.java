package org.snipewick.bench.cluster;

import java.io.IOException;
import java.net.ServerSocket;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Allocates ports below those that the operating system uses for outgoing connections, so that they
 * stay free. Test processes that run in parallel use ranges of their own.
 */
final class FreePorts {
  private static final int PORT_RANGES = 6;
  private static final int PORTS_PER_RANGE = 3_000;
  private static final int FIRST_LOCK_PORT = 11_990;

  /** Held as long as this JVM runs, so that no other one uses the same range of ports. */
  private static final ServerSocket RANGE_LOCK = lockRange();

  private static final int FIRST_PORT =
      12_000 + PORTS_PER_RANGE * (RANGE_LOCK.getLocalPort() - FIRST_LOCK_PORT);
  private static final int START_OFFSET_PER_PROCESS_ID = 331;
  private static final AtomicInteger NEXT_OFFSET =
      new AtomicInteger((int) (ProcessHandle.current().pid() * START_OFFSET_PER_PROCESS_ID));

  private FreePorts() {}

  private static ServerSocket lockRange() {
    for (int range = 0; range < PORT_RANGES; range++) {
      try {
        return new ServerSocket(FIRST_LOCK_PORT + range);
      } catch (IOException taken) {
        continue;
      }
    }
    throw new IllegalStateException("all " + PORT_RANGES + " port ranges are in use");
  }

  /**
   * Returns a port on which no process listens, a different one each time.
   *
   * @return TCP port
   */
  static int next() {
    while (true) {
      int port = FIRST_PORT + Math.floorMod(NEXT_OFFSET.getAndIncrement(), PORTS_PER_RANGE);
      try (ServerSocket socket = new ServerSocket(port)) {
        return socket.getLocalPort();
      } catch (IOException taken) {
        continue;
      }
    }
  }
}
