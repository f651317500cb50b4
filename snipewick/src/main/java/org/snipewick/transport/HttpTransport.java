package org.snipewick.transport;

import static java.util.Objects.requireNonNull;

import io.activej.common.MemSize;
import io.activej.dns.protocol.DnsResponse;
import io.activej.eventloop.Eventloop;
import io.activej.http.AsyncHttpClient;
import io.activej.http.HttpClientConnection;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.net.socket.tcp.AsyncTcpSocket;
import io.activej.net.socket.tcp.AsyncTcpSocketNio;
import io.activej.promise.Promise;
import java.net.InetSocketAddress;
import java.time.Duration;
import org.snipewick.transport.response.MalformedResponseException;
import org.snipewick.transport.response.ResponseReader;

/**
 * HTTP client on one event loop. All that it receives is checked before it is read ({@link
 * ResponseReader}). Unless the settings keep connections for further requests, each request uses
 * its own, so that a late or duplicated response is never taken for the response to another
 * request, and no request is lost on a connection that the endpoint closes while it is idle.
 */
public final class HttpTransport {
  private final AsyncHttpClient client;
  private final boolean keepsConnections;

  private HttpTransport(Eventloop eventloop, TransportSettings settings) {
    keepsConnections = settings.keepAlive().isPresent();
    client =
        AsyncHttpClient.create(eventloop)
            .withConnectTimeout(settings.connectTimeout())
            .withReadWriteTimeout(settings.readWriteTimeout())
            .withMaxBodySize(MemSize.of(settings.maxBodyBytes()))
            .withInspector(new ConnectionInspector(keepsConnections));
    settings.keepAlive().ifPresentOrElse(client::withKeepAliveTimeout, client::withNoKeepAlive);
  }

  /**
   * Creates a client.
   *
   * @param eventloop event loop that runs its connections
   * @param settings limits of the client
   * @return client
   */
  public static HttpTransport of(Eventloop eventloop, TransportSettings settings) {
    requireNonNull(eventloop, "eventloop");
    return new HttpTransport(eventloop, requireNonNull(settings, "settings"));
  }

  /**
   * Creates a client with a connection for each request.
   *
   * @param eventloop event loop that runs its connections
   * @param connectTimeout maximum time to establish a connection
   * @param maxBodyBytes maximum size of a response body, in bytes
   * @return client
   */
  public static HttpTransport of(Eventloop eventloop, Duration connectTimeout, int maxBodyBytes) {
    return of(eventloop, TransportSettings.of(connectTimeout).withMaxBodyBytes(maxBodyBytes));
  }

  /**
   * Sends a request that is not cancelled. To be called on the event loop.
   *
   * @param request request to send
   * @return promise that completes with the response when its headers have arrived, or fails if no
   *     connection is established, it breaks before, or what has arrived is not a response
   */
  public Promise<HttpResponse> send(HttpRequest request) {
    return client.request(request);
  }

  /**
   * Sends a request. To be called on the event loop.
   *
   * @param request request to send
   * @param exchange new exchange, by which the request can be cancelled
   * @return promise that completes with the response when its headers have arrived, or fails if no
   *     connection is established, it breaks before, or with a {@link MalformedResponseException}
   *     if what has arrived is not a response
   * @throws IllegalStateException if connections are kept for further requests
   */
  public Promise<HttpResponse> send(HttpRequest request, Exchange exchange) {
    requireNonNull(exchange, "exchange");
    if (keepsConnections) {
      throw new IllegalStateException("exchange needs a connection of its own");
    }
    request.attach(Exchange.class, exchange);
    return client
        .request(request)
        .mapException(
            thrown -> exchange.violation().<Exception>map(malformed -> malformed).orElse(thrown));
  }

  /** Prepares each connection before anything is written to it. */
  private record ConnectionInspector(boolean keepsConnections)
      implements AsyncHttpClient.Inspector {

    @Override
    public void onConnect(HttpRequest request, HttpClientConnection connection) {
      AsyncTcpSocket socket = ConnectionSockets.of(connection);
      ResponseInspector inspector =
          new ResponseInspector(
              keepsConnections ? ResponseReader.ofManyResponses() : ResponseReader.ofOneResponse());
      ((AsyncTcpSocketNio) socket).setInspector(inspector);
      Exchange exchange = request.getAttachment(Exchange.class);
      if (exchange != null) {
        exchange.connected(socket, inspector);
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
