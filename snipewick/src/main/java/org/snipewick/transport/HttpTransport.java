package org.snipewick.transport;

import static java.util.Objects.requireNonNull;

import io.activej.common.MemSize;
import io.activej.dns.protocol.DnsResponse;
import io.activej.eventloop.Eventloop;
import io.activej.http.AsyncHttpClient;
import io.activej.http.HttpClientConnection;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.http.MalformedHttpException;
import io.activej.promise.Promise;
import java.net.InetSocketAddress;
import java.time.Duration;

/**
 * HTTP client on one event loop. Each request uses its own connection, so that a late or duplicated
 * response is never taken for the response to another request, and no request is lost on a
 * connection that the endpoint closes while it is idle.
 */
public final class HttpTransport {
  /** Longer than any request; requests are cancelled earlier by the timers of their senders. */
  private static final Duration READ_WRITE_TIMEOUT = Duration.ofMinutes(11);

  private final AsyncHttpClient client;

  private HttpTransport(Eventloop eventloop, Duration connectTimeout, int maxBodyBytes) {
    client =
        AsyncHttpClient.create(eventloop)
            .withNoKeepAlive()
            .withConnectTimeout(connectTimeout)
            .withReadWriteTimeout(READ_WRITE_TIMEOUT)
            .withMaxBodySize(MemSize.of(maxBodyBytes))
            .withInspector(new ConnectionInspector());
  }

  /**
   * Creates a client.
   *
   * @param eventloop event loop that runs its connections
   * @param connectTimeout maximum time to establish a connection
   * @param maxBodyBytes maximum size of a response body, in bytes
   * @return client
   */
  public static HttpTransport of(Eventloop eventloop, Duration connectTimeout, int maxBodyBytes) {
    requireNonNull(eventloop, "eventloop");
    return new HttpTransport(eventloop, connectTimeout, maxBodyBytes);
  }

  /**
   * Sends a request. To be called on the event loop.
   *
   * @param request request to send
   * @param exchange new exchange, by which the request can be cancelled
   * @return promise that completes with the response when its headers have arrived, or fails if no
   *     connection is established, it breaks before, or the status line is malformed
   */
  public Promise<HttpResponse> send(HttpRequest request, Exchange exchange) {
    request.attach(Exchange.class, requireNonNull(exchange, "exchange"));
    return client.request(request).then(response -> checkStatusLine(response, exchange));
  }

  private static Promise<HttpResponse> checkStatusLine(HttpResponse response, Exchange exchange) {
    if (!exchange.hasMalformedStatusLine()) {
      return Promise.of(response);
    }
    exchange.cancel();
    return Promise.ofException(new MalformedHttpException("status does not have three digits"));
  }

  /** Passes the socket of a connection to its exchange before anything is written to the socket. */
  private static final class ConnectionInspector implements AsyncHttpClient.Inspector {

    @Override
    public void onConnect(HttpRequest request, HttpClientConnection connection) {
      Exchange exchange = request.getAttachment(Exchange.class);
      if (exchange != null) {
        exchange.connected(ConnectionSockets.of(connection));
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
