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

/** Accepts operators' connections, and answers requests that the HTTP server cannot parse. */
final class AdminConnections implements AsyncHttpServer.Inspector {
  private static final int BACKLOG = 128;

  private final Eventloop eventloop;
  private final Function<Exception, AdminAnswer> malformed;
  private final Map<HttpServerConnection, SocketChannel> channels = new IdentityHashMap<>();
  private AsyncHttpServer server;
  private ServerSocketChannel listening;
  private SocketChannel accepting;

  AdminConnections(Eventloop eventloop, Function<Exception, AdminAnswer> malformed) {
    this.eventloop = requireNonNull(eventloop, "eventloop");
    this.malformed = requireNonNull(malformed, "malformed");
  }

  /** Starts to accept; to be called on the event loop. */
  void listen(AsyncHttpServer started, InetSocketAddress address) throws IOException {
    server = started;
    server.listen();
    listening = eventloop.listen(address, ServerSocketSettings.create(BACKLOG), this::accept);
  }

  /** Stops to accept and closes all connections; to be called on the event loop. */
  void close() {
    if (listening != null) {
      eventloop.closeChannel(listening, listening.keyFor(eventloop.ensureSelector()));
    }
    if (server != null) {
      server.close();
    }
  }

  private void accept(SocketChannel channel) {
    accepting = channel;
    try {
      server.doAccept(
          channel,
          (InetSocketAddress) channel.getLocalAddress(),
          (InetSocketAddress) channel.getRemoteAddress(),
          false,
          AbstractServer.DEFAULT_SOCKET_SETTINGS);
    } catch (IOException gone) {
      eventloop.closeChannel(channel, null);
    } finally {
      accepting = null;
    }
  }

  @Override
  public void onAccept(HttpServerConnection connection) {
    channels.put(connection, accepting);
  }

  @Override
  public void onDisconnect(HttpServerConnection connection) {
    channels.remove(connection);
  }

  /** Answers before the server does, whose own answer has no content. */
  @Override
  public void onMalformedHttpRequest(
      HttpServerConnection connection, MalformedHttpException thrown, byte[] received) {
    SocketChannel channel = channels.get(connection);
    if (channel == null) {
      return;
    }
    try {
      channel.write(ByteBuffer.wrap(malformed.apply(thrown).toHttp()));
      channel.shutdownOutput();
    } catch (IOException gone) {
      // The operator is gone, so nobody waits for the answer.
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
