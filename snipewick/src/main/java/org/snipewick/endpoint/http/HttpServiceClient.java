package org.snipewick.endpoint.http;

import static java.util.Objects.requireNonNull;

import io.activej.eventloop.Eventloop;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpMethod;
import io.activej.http.HttpRequest;
import io.activej.promise.Promise;
import java.util.concurrent.CompletableFuture;
import org.snipewick.endpoint.EndpointResponse;
import org.snipewick.endpoint.ServiceCall;
import org.snipewick.endpoint.ServiceClient;

/** Client of plain services over HTTP. Thread-safe. */
public final class HttpServiceClient implements ServiceClient {
  private final HttpExchanges exchanges;

  private HttpServiceClient(HttpExchanges exchanges) {
    this.exchanges = exchanges;
  }

  /**
   * Returns a client.
   *
   * @param eventloop event loop that runs its connections
   * @return client
   */
  public static HttpServiceClient of(Eventloop eventloop) {
    return new HttpServiceClient(HttpExchanges.of(eventloop));
  }

  @Override
  public CompletableFuture<EndpointResponse> call(ServiceCall call) {
    requireNonNull(call, "call");
    return exchanges.start(() -> callOnEventLoop(call));
  }

  private Promise<EndpointResponse> callOnEventLoop(ServiceCall call) {
    HttpRequest request = request(call);
    HttpExchange exchange = new HttpExchange();
    return exchanges
        .send(request, exchange)
        .then(
            response ->
                exchanges.readFully(response, exchange, call.dispatchId(), call.maxBodyBytes()));
  }

  private static HttpRequest request(ServiceCall call) {
    HttpRequest request =
        HttpRequest.of(
                HttpMethod.valueOf(call.method()),
                HttpExchanges.url(call.endpoint(), call.pathAndQuery()))
            .withHeader(EndpointHeaders.REQUEST_ID, call.dispatchId().toString());
    call.headers().forEach((name, value) -> request.addHeader(HttpHeaders.of(name), value));
    call.idempotencyKey().ifPresent(key -> request.addHeader(EndpointHeaders.IDEMPOTENCY_KEY, key));
    if (call.body().length > 0) {
      request.setBody(call.body());
    }
    return request;
  }
}
