package org.snipewick.transport;

import static java.util.Objects.requireNonNull;

import io.activej.common.MemSize;
import io.activej.dns.protocol.DnsResponse;
import io.activej.eventloop.Eventloop;
import io.activej.http.AbstractHttpConnection;
import io.activej.http.AsyncHttpClient;
import io.activej.http.HttpClientConnection;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.net.socket.tcp.AsyncTcpSocket;
import io.activej.promise.Promise;
import java.lang.invoke.MethodHandles;
import java.lang.invoke.VarHandle;
import java.net.InetSocketAddress;
import java.time.Duration;

/**
 * HTTP client on one event loop. Each request has a connection of its own: what comes late or
 * doubled on a connection then belongs to no other request, and a connection that an endpoint
 * closes while idle cannot lose one.
 */
public final class HttpTransport {
  /** Longer than any request; what ends requests are the timers of those who send them. */
  private static final Duration LONGEST_EXCHANGE = Duration.ofMinutes(11);

  /**
   * Socket of a connection. The library offers no way to close a connection before its answer
   * begins: its setter of a socket inspector sets the one for TLS.
   */
  private static final VarHandle SOCKET = socketField();

  private final AsyncHttpClient client;

  private HttpTransport(Eventloop eventloop, Duration connectTimeout, int maxBodyBytes) {
    client =
        AsyncHttpClient.create(eventloop)
            .withNoKeepAlive()
            .withConnectTimeout(connectTimeout)
            .withReadWriteTimeout(LONGEST_EXCHANGE)
            .withMaxBodySize(MemSize.of(maxBodyBytes))
            .withInspector(new ConnectionInspector());
  }

  private static VarHandle socketField() {
    try {
      return MethodHandles.privateLookupIn(AbstractHttpConnection.class, MethodHandles.lookup())
          .findVarHandle(AbstractHttpConnection.class, "socket", AsyncTcpSocket.class);
    } catch (ReflectiveOperationException otherVersion) {
      throw new ExceptionInInitializerError(otherVersion);
    }
  }

  /**
   * Creates a client.
   *
   * @param eventloop event loop that carries its connections
   * @param connectTimeout longest time until a connection is made
   * @param maxBodyBytes longest body that is loaded
   * @return client
   */
  public static HttpTransport of(Eventloop eventloop, Duration connectTimeout, int maxBodyBytes) {
    requireNonNull(eventloop, "eventloop");
    return new HttpTransport(eventloop, connectTimeout, maxBodyBytes);
  }

  /**
   * Sends a request; to be called on the event loop.
   *
   * @param request request
   * @param exchange its state, by which it can be cancelled
   * @return response as soon as its head has arrived; an exception if the connection breaks before
   */
  public Promise<HttpResponse> send(HttpRequest request, Exchange exchange) {
    request.attach(Exchange.class, requireNonNull(exchange, "exchange"));
    return client.request(request);
  }

  /** Gives exchanges their sockets before anything is written to them. */
  private static final class ConnectionInspector implements AsyncHttpClient.Inspector {

    @Override
    public void onConnect(HttpRequest request, HttpClientConnection connection) {
      Exchange exchange = request.getAttachment(Exchange.class);
      if (exchange != null) {
        exchange.connected((AsyncTcpSocket) SOCKET.get(connection));
      }
    }

    @Override
    public void onRequest(HttpRequest request) {}

    @Override
    public void onResolve(HttpRequest request, DnsResponse response) {}

    @Override
    public void onResolveError(HttpRequest request, Exception thrown) {}

    @Override
    public void onConnectError(HttpRequest request, InetSocketAddress address, Exception thrown) {}

    @Override
    public void onHttpResponse(HttpResponse response) {}

    @Override
    public void onHttpError(HttpClientConnection connection, Exception thrown) {}

    @Override
    public void onDisconnect(HttpClientConnection connection) {}

    @Override
    public <T extends AsyncHttpClient.Inspector> T lookup(Class<T> type) {
      return type.isInstance(this) ? type.cast(this) : null;
    }
  }
}
