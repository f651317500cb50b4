package org.snipewick.transport;

import static java.util.Objects.requireNonNull;

import io.activej.async.exception.AsyncCloseException;
import io.activej.net.socket.tcp.AsyncTcpSocket;
import java.util.Optional;
import org.snipewick.transport.response.MalformedResponseException;

/** State of one HTTP request on its own connection. To be used on one event loop only. */
public final class Exchange {
  private AsyncTcpSocket socket;
  private ResponseInspector inspector;
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

  /** Returns why the response is malformed; empty if all of it that has arrived is sound. */
  Optional<MalformedResponseException> violation() {
    return inspector == null ? Optional.empty() : inspector.violation();
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
  void connected(AsyncTcpSocket connection, ResponseInspector connectionInspector) {
    requireNonNull(connection, "connection");
    if (cancelled) {
      connection.closeEx(new AsyncCloseException("cancelled"));
    } else {
      socket = connection;
      inspector = requireNonNull(connectionInspector, "connectionInspector");
    }
  }
}
