package org.snipewick.standins.server;

import static java.util.Objects.requireNonNull;

import io.activej.bytebuf.ByteBuf;
import io.activej.net.socket.tcp.AsyncTcpSocketNio;

/** Connection from a caller to a stand-in; used on the event loop only. */
public final class Connection {
  private static final Runnable NO_TASK = () -> {};

  private final AsyncTcpSocketNio socket;
  private Runnable disconnectTask = NO_TASK;

  Connection(AsyncTcpSocketNio socket) {
    this.socket = requireNonNull(socket, "socket");
  }

  /** Closes the connection without a response. */
  public void abort() {
    socket.close();
  }

  /**
   * Registers a task that runs if the connection ends before the response to the current call has
   * been sent. Bytes that the caller sends before then close the connection and run the task, too.
   *
   * @param task task to run once when the caller disconnects or the connection fails; replaces an
   *     earlier task
   */
  public void onDisconnect(Runnable task) {
    disconnectTask = requireNonNull(task, "task");
    socket.read().whenResult(this::onRead).whenException(this::runDisconnectTask);
  }

  private void onRead(ByteBuf buffer) {
    if (buffer != null) {
      buffer.recycle();
    }
    runDisconnectTask();
    socket.close();
  }

  private void runDisconnectTask() {
    Runnable task = disconnectTask;
    disconnectTask = NO_TASK;
    task.run();
  }
}
