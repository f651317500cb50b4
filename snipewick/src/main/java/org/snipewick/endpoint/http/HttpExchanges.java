package org.snipewick.endpoint.http;

import static java.util.Objects.requireNonNull;

import io.activej.bytebuf.ByteBuf;
import io.activej.dns.protocol.DnsResponse;
import io.activej.eventloop.Eventloop;
import io.activej.http.AsyncHttpClient;
import io.activej.http.HttpClientConnection;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.snipewick.endpoint.EndpointAnswer;
import org.snipewick.failure.Failure;
import org.snipewick.failure.FailureException;
import org.snipewick.failure.FailureType;
import org.snipewick.identity.RequestId;
import org.snipewick.pool.EndpointStatus;

/** Exchanges with endpoints on one event loop; each has a connection of its own. */
final class HttpExchanges {
  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);
  private static final Duration LONGEST_EXCHANGE = Duration.ofMinutes(11);

  private final Eventloop eventloop;
  private final AsyncHttpClient client;

  private HttpExchanges(Eventloop eventloop, AsyncHttpClient client) {
    this.eventloop = eventloop;
    this.client = client;
  }

  static HttpExchanges of(Eventloop eventloop) {
    requireNonNull(eventloop, "eventloop");
    AsyncHttpClient client =
        AsyncHttpClient.create(eventloop)
            .withNoKeepAlive()
            .withConnectTimeout(CONNECT_TIMEOUT)
            .withReadWriteTimeout(LONGEST_EXCHANGE)
            .withInspector(new ConnectionInspector());
    return new HttpExchanges(eventloop, client);
  }

  Eventloop eventloop() {
    return eventloop;
  }

  static String url(EndpointStatus endpoint, String pathAndQuery) {
    return "http://" + endpoint.host() + ":" + endpoint.port() + pathAndQuery;
  }

  /** Sends a request; refusals and exceptions become typed failures. Runs on the event loop. */
  Promise<HttpResponse> send(HttpRequest request, HttpExchange exchange) {
    return client
        .request(request)
        .then(
            HttpExchanges::checkRefusal,
            thrown -> Promise.ofException(exchange.failureOf(thrown).toException()));
  }

  /** Reads a body in full length. */
  Promise<EndpointAnswer> readWhole(
      HttpResponse response, HttpExchange exchange, RequestId id, int maxBodyBytes) {
    if (!HttpExchange.isDelimited(response)) {
      return incomplete("answer has neither a length nor a terminator");
    }
    if (!belongsTo(id, response)) {
      return incomplete("answer carries the identifier of another dispatch");
    }
    EndpointAnswer head = HttpExchange.answerOf(response, new byte[0]);
    response.setBodyStream(exchange.takeBody(response));
    return response
        .loadBody(maxBodyBytes)
        .then(
            buffer -> wholeOf(head, buffer, maxBodyBytes),
            thrown -> Promise.ofException(exchange.failureOf(thrown).toException()));
  }

  /** Tells whether an answer is for a dispatch; one that names none is taken by its connection. */
  static boolean belongsTo(RequestId id, HttpResponse response) {
    String named = response.getHeader(HttpNames.REQUEST_ID);
    return named == null || named.equals(id.toString());
  }

  static <T> Promise<T> incomplete(String detail) {
    return Promise.ofException(
        Failure.unknown(FailureType.ANSWER_INCOMPLETE, detail).toException());
  }

  /** Starts an exchange on the event loop; an exception of the start is no lost future. */
  <T> CompletableFuture<T> start(Supplier<Promise<T>> exchange) {
    CompletableFuture<T> result = new CompletableFuture<>();
    eventloop.execute(
        () -> {
          try {
            forward(exchange.get(), result);
          } catch (RuntimeException defect) {
            result.completeExceptionally(FailureException.unwrap(defect).toException());
          }
        });
    return result;
  }

  /** Completes a future with what a promise brings; exceptions without a type get one. */
  static <T> void forward(Promise<T> promise, CompletableFuture<T> result) {
    promise.run(
        (value, thrown) -> {
          if (thrown == null) {
            result.complete(value);
          } else {
            result.completeExceptionally(FailureException.unwrap(thrown).toException());
          }
        });
  }

  /** The library's own limit lets the last buffer pass whole. */
  private static Promise<EndpointAnswer> wholeOf(
      EndpointAnswer head, ByteBuf buffer, int maxBodyBytes) {
    byte[] body = buffer.getArray();
    return body.length > maxBodyBytes
        ? incomplete("answer exceeds " + maxBodyBytes + " bytes")
        : Promise.of(new EndpointAnswer(head.status(), head.contentType(), body));
  }

  private static Promise<HttpResponse> checkRefusal(HttpResponse response) {
    return HttpExchange.isRefusal(response)
        ? Promise.ofException(
            Failure.notRun(FailureType.ENDPOINT_REFUSED, "endpoint refused before running")
                .toException())
        : Promise.of(response);
  }

  /** Notes which requests got a connection. */
  private static final class ConnectionInspector implements AsyncHttpClient.Inspector {

    @Override
    public void onConnect(HttpRequest request, HttpClientConnection connection) {
      HttpExchange exchange = request.getAttachment(HttpExchange.class);
      if (exchange != null) {
        exchange.markConnected();
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
