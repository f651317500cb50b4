package org.snipewick.admin;

import static java.util.Objects.requireNonNull;

import io.activej.eventloop.Eventloop;
import io.activej.eventloop.net.ServerSocketSettings;
import io.activej.http.AsyncHttpServer;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.http.HttpServerConnection;
import io.activej.http.MalformedHttpException;
import io.activej.net.AbstractServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.IdentityHashMap;
import java.util.Map;
import java.util.function.Function;

/** Accepts connections, and responds to requests that the HTTP server cannot parse. */
final class AdminConnections implements AsyncHttpServer.Inspector {
  private static final int ACCEPT_BACKLOG_CONNECTIONS = 128;

  private final Eventloop eventloop;
  private final Function<Exception, AdminResponse> malformedRequestHandler;
  private final Map<HttpServerConnection, SocketChannel> channels = new IdentityHashMap<>();
  private AsyncHttpServer server;
  private ServerSocketChannel listeningChannel;

  /** Channel for which {@link #onAccept} is called next; set only during {@link #accept}. */
  private SocketChannel channelBeingAccepted;

  AdminConnections(
      Eventloop eventloop, Function<Exception, AdminResponse> malformedRequestHandler) {
    this.eventloop = requireNonNull(eventloop, "eventloop");
    this.malformedRequestHandler =
        requireNonNull(malformedRequestHandler, "malformedRequestHandler");
  }

  /** Starts accepting connections. Must be called on the event loop's thread. */
  void listen(AsyncHttpServer httpServer, InetSocketAddress address) throws IOException {
    server = httpServer;
    server.listen();
    listeningChannel =
        eventloop.listen(
            address, ServerSocketSettings.create(ACCEPT_BACKLOG_CONNECTIONS), this::accept);
  }

  /** Stops accepting and closes all connections. Must be called on the event loop's thread. */
  void close() {
    if (listeningChannel != null) {
      eventloop.closeChannel(listeningChannel, listeningChannel.keyFor(eventloop.ensureSelector()));
    }
    if (server != null) {
      server.close();
    }
  }

  private void accept(SocketChannel channel) {
    channelBeingAccepted = channel;
    try {
      server.doAccept(
          channel,
          (InetSocketAddress) channel.getLocalAddress(),
          (InetSocketAddress) channel.getRemoteAddress(),
          false,
          AbstractServer.DEFAULT_SOCKET_SETTINGS);
    } catch (IOException closed) {
      eventloop.closeChannel(channel, null);
    } finally {
      channelBeingAccepted = null;
    }
  }

  @Override
  public void onAccept(HttpServerConnection connection) {
    channels.put(connection, channelBeingAccepted);
  }

  @Override
  public void onDisconnect(HttpServerConnection connection) {
    channels.remove(connection);
  }

  /** Writes a problem document before the server writes its own response, which has no body. */
  @Override
  public void onMalformedHttpRequest(
      HttpServerConnection connection, MalformedHttpException thrown, byte[] received) {
    SocketChannel channel = channels.get(connection);
    if (channel == null) {
      return;
    }
    try {
      channel.write(ByteBuffer.wrap(malformedRequestHandler.apply(thrown).toHttp()));
      channel.shutdownOutput();
    } catch (IOException closed) {
      // The connection is closed, so the response cannot be delivered.
      return;
    }
  }

  @Override
  public void onHttpRequest(HttpRequest request) {}

  @Override
  public void onHttpResponse(HttpRequest request, HttpResponse response) {}

  @Override
  public void onServletException(HttpRequest request, Exception thrown) {}

  @Override
  public void onHttpError(HttpServerConnection connection, Exception thrown) {}

  @Override
  public <T extends AsyncHttpServer.Inspector> T lookup(Class<T> type) {
    return type.isInstance(this) ? type.cast(this) : null;
  }
}
