package org.snipewick.transport;

import io.activej.http.AbstractHttpConnection;
import io.activej.net.socket.tcp.AsyncTcpSocket;
import java.lang.invoke.MethodHandles;
import java.lang.invoke.VarHandle;

/**
 * Access to the private socket field of a connection. The library has no way to close a connection
 * at any time: its setter for a socket inspector sets the one for TLS, and its methods that close
 * are protected.
 */
final class ConnectionSockets {
  private static final VarHandle SOCKET = socketField();

  private ConnectionSockets() {}

  private static VarHandle socketField() {
    try {
      return MethodHandles.privateLookupIn(AbstractHttpConnection.class, MethodHandles.lookup())
          .findVarHandle(AbstractHttpConnection.class, "socket", AsyncTcpSocket.class);
    } catch (ReflectiveOperationException otherVersion) {
      throw new ExceptionInInitializerError(otherVersion);
    }
  }

  /** Returns the socket of a connection. */
  static AsyncTcpSocket of(AbstractHttpConnection connection) {
    return (AsyncTcpSocket) SOCKET.get(connection);
  }
}
