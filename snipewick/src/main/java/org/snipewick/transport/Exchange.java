package org.snipewick.transport;

import static java.util.Objects.requireNonNull;

import io.activej.async.exception.AsyncCloseException;
import io.activej.net.socket.tcp.AsyncTcpSocket;
import io.activej.net.socket.tcp.AsyncTcpSocketNio;

/** State of one HTTP request on its own connection. To be used on one event loop only. */
public final class Exchange {
  private final StatusLineInspector statusLine = new StatusLineInspector();
  private AsyncTcpSocket socket;
  private boolean cancelled;

  private Exchange() {}

  /**
   * Creates an exchange whose request was not sent yet.
   *
   * @return new exchange
   */
  public static Exchange of() {
    return new Exchange();
  }

  /**
   * Returns whether any part of the request may have reached the remote side.
   *
   * @return whether a connection was established and the request was passed to it
   */
  public boolean mayHaveBeenSent() {
    return socket != null;
  }

  /**
   * Returns whether the exchange was cancelled.
   *
   * @return whether {@link #cancel} was called
   */
  public boolean isCancelled() {
    return cancelled;
  }

  /** Returns whether a response has begun whose status line is not valid. */
  boolean hasMalformedStatusLine() {
    return statusLine.isMalformed();
  }

  /**
   * Closes the connection at once. A connection that is still being established is closed before it
   * is used.
   */
  public void cancel() {
    cancelled = true;
    if (socket != null) {
      socket.closeEx(new AsyncCloseException("cancelled"));
    }
  }

  /**
   * Sets the connection on which the request is about to be written, or closes it if the exchange
   * was cancelled.
   */
  void connected(AsyncTcpSocket connection) {
    requireNonNull(connection, "connection");
    if (cancelled) {
      connection.closeEx(new AsyncCloseException("cancelled"));
    } else {
      socket = connection;
      if (connection instanceof AsyncTcpSocketNio plain) {
        plain.setInspector(statusLine);
      }
    }
  }
}
