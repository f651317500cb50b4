package org.snipewick.transport;

import static java.util.Objects.requireNonNull;

import io.activej.eventloop.Eventloop;
import io.activej.eventloop.net.SocketSettings;
import java.net.InetSocketAddress;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Consumer;

/**
 * Accepted connections that wait until others have given way. The descriptor of a closed connection
 * is released only in the next pass of the event loop, but that of a waiting one at once; if too
 * many wait, the oldest one is closed, so that a caller behind a crowd is served. Used on one event
 * loop only.
 */
final class AcceptQueue {
  private final Eventloop eventloop;
  private final int maxWaiting;
  private final Consumer<Accepted> opener;
  private final Runnable onClosed;
  private final Deque<Accepted> waiting = new ArrayDeque<>();

  /**
   * Creates an empty queue.
   *
   * @param eventloop event loop of the connections
   * @param maxWaiting maximum number of connections that wait
   * @param opener opens a connection in the next pass
   * @param onClosed listener that is called for each connection that is closed while it waits
   */
  AcceptQueue(Eventloop eventloop, int maxWaiting, Consumer<Accepted> opener, Runnable onClosed) {
    this.eventloop = requireNonNull(eventloop, "eventloop");
    this.maxWaiting = maxWaiting;
    this.opener = requireNonNull(opener, "opener");
    this.onClosed = requireNonNull(onClosed, "onClosed");
  }

  /** Connection that was accepted, and what the server needs to know about it. */
  record Accepted(
      SocketChannel channel,
      InetSocketAddress local,
      InetSocketAddress remote,
      boolean ssl,
      SocketSettings settings) {}

  boolean isEmpty() {
    return waiting.isEmpty();
  }

  /** Keeps a connection until the next pass. */
  void add(Accepted accepted) {
    if (waiting.isEmpty()) {
      eventloop.postNext(this::openAll);
    }
    waiting.addLast(accepted);
    if (waiting.size() > maxWaiting) {
      eventloop.closeChannel(waiting.removeFirst().channel(), null);
      onClosed.run();
    }
  }

  private void openAll() {
    while (!waiting.isEmpty()) {
      opener.accept(waiting.removeFirst());
    }
  }

  /** Closes all connections that wait. */
  void closeAll() {
    waiting.forEach(accepted -> eventloop.closeChannel(accepted.channel(), null));
    waiting.clear();
  }
}
