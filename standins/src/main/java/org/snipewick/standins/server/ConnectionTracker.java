package org.snipewick.standins.server;

import io.activej.bytebuf.ByteBuf;
import io.activej.common.inspector.BaseInspector;
import io.activej.http.AsyncHttpServer;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.http.HttpServerConnection;
import io.activej.net.socket.tcp.AsyncTcpSocketNio;
import java.io.IOException;

/** Attaches a {@link Connection} to each HTTP connection, so that calls can be aborted. */
final class ConnectionTracker implements AsyncHttpServer.Inspector {
  /** Socket that was connected last; the HTTP connection accepted on it does not expose it. */
  private AsyncTcpSocketNio latestSocket;

  AsyncTcpSocketNio.Inspector socketInspector() {
    return new SocketInspector();
  }

  @Override
  public void onAccept(HttpServerConnection connection) {
    connection.setUserData(new Connection(latestSocket));
  }

  @Override
  public void onHttpRequest(HttpRequest request) {}

  @Override
  public void onHttpResponse(HttpRequest request, HttpResponse response) {}

  @Override
  public void onServletException(HttpRequest request, Exception failure) {}

  @Override
  public void onHttpError(HttpServerConnection connection, Exception failure) {}

  @Override
  public void onDisconnect(HttpServerConnection connection) {}

  @Override
  public <T extends AsyncHttpServer.Inspector> T lookup(Class<T> type) {
    return BaseInspector.lookup(this, type);
  }

  private final class SocketInspector implements AsyncTcpSocketNio.Inspector {

    @Override
    public void onConnect(AsyncTcpSocketNio socket) {
      latestSocket = socket;
    }

    @Override
    public void onReadTimeout(AsyncTcpSocketNio socket) {}

    @Override
    public void onRead(AsyncTcpSocketNio socket, ByteBuf buffer) {}

    @Override
    public void onReadEndOfStream(AsyncTcpSocketNio socket) {}

    @Override
    public void onReadError(AsyncTcpSocketNio socket, IOException failure) {}

    @Override
    public void onWriteTimeout(AsyncTcpSocketNio socket) {}

    @Override
    public void onWrite(AsyncTcpSocketNio socket, ByteBuf buffer, int bytes) {}

    @Override
    public void onWriteError(AsyncTcpSocketNio socket, IOException failure) {}

    @Override
    public void onDisconnect(AsyncTcpSocketNio socket) {}

    @Override
    public <T extends AsyncTcpSocketNio.Inspector> T lookup(Class<T> type) {
      return BaseInspector.lookup(this, type);
    }
  }
}
