package org.snipewick.transport;

import static java.util.Objects.requireNonNull;

import io.activej.async.exception.AsyncCloseException;
import io.activej.net.socket.tcp.AsyncTcpSocket;

/** State of one HTTP request on a connection of its own; used on one event loop only. */
public final class Exchange {
  private AsyncTcpSocket socket;
  private boolean cancelled;

  private Exchange() {}

  /**
   * Creates the state of a request that was not sent yet.
   *
   * @return exchange
   */
  public static Exchange of() {
    return new Exchange();
  }

  /**
   * Tells whether anything of the request may have reached the other side.
   *
   * @return whether a connection was made and the request was handed to it
   */
  public boolean mayHaveBeenSent() {
    return socket != null;
  }

  /**
   * Tells whether the exchange was given up.
   *
   * @return whether {@link #cancel} was called
   */
  public boolean isCancelled() {
    return cancelled;
  }

  /** Closes the connection at once; one that is still being made is closed before it is used. */
  public void cancel() {
    cancelled = true;
    if (socket != null) {
      socket.closeEx(new AsyncCloseException("cancelled"));
    }
  }

  /** Takes the connection on which the request is about to be written. */
  void connected(AsyncTcpSocket connection) {
    requireNonNull(connection, "connection");
    if (cancelled) {
      connection.closeEx(new AsyncCloseException("cancelled"));
    } else {
      socket = connection;
    }
  }
}
