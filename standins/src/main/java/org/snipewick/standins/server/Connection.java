package org.snipewick.standins.server;

import static java.util.Objects.requireNonNull;

import io.activej.bytebuf.ByteBuf;
import io.activej.net.socket.tcp.AsyncTcpSocketNio;

/** Connection of a caller of a stand-in. */
public final class Connection {
  private static final Runnable NOTHING = () -> {};

  private final AsyncTcpSocketNio socket;
  private Runnable whenGone = NOTHING;

  Connection(AsyncTcpSocketNio socket) {
    this.socket = requireNonNull(socket, "socket");
  }

  /** Closes the connection without an answer. */
  public void abort() {
    socket.close();
  }

  /**
   * Watches for the end of the connection until the present call has been answered.
   *
   * @param task what to run when the peer has gone or the connection failed; replaces an earlier
   *     task
   */
  public void whenGone(Runnable task) {
    whenGone = requireNonNull(task, "task");
    socket.read().whenResult(this::onRead).whenException(this::gone);
  }

  private void onRead(ByteBuf buffer) {
    if (buffer != null) {
      buffer.recycle();
    }
    gone();
    socket.close();
  }

  private void gone() {
    Runnable task = whenGone;
    whenGone = NOTHING;
    task.run();
  }
}
