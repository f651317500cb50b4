package org.snipewick.relay;

import static java.util.Objects.requireNonNull;

import io.activej.eventloop.Eventloop;
import io.activej.http.AsyncHttpServer;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

/**
 * HTTP server that responds to the path "/metrics" with metrics, and to all others, as the
 * readiness probe of the load balancer, with status 200 or 503.
 */
public final class HealthServer {
  private static final String METRICS_PATH = "/metrics";

  private HealthServer() {}

  /**
   * Starts a server; must be called on the event loop's thread.
   *
   * @param eventloop event loop that serves the requests
   * @param address address to listen on
   * @param isReady returns whether the instance is ready to relay requests
   * @param metrics returns the metrics as text
   * @throws IOException if the address cannot be bound
   */
  public static void listen(
      Eventloop eventloop,
      InetSocketAddress address,
      BooleanSupplier isReady,
      Supplier<String> metrics)
      throws IOException {
    requireNonNull(isReady, "isReady");
    requireNonNull(metrics, "metrics");
    AsyncHttpServer.create(eventloop, request -> Promise.of(respond(request, isReady, metrics)))
        .withListenAddress(address)
        .listen();
  }

  private static HttpResponse respond(
      HttpRequest request, BooleanSupplier isReady, Supplier<String> metrics) {
    if (request.getPath().equals(METRICS_PATH)) {
      return HttpResponse.ok200().withPlainText(metrics.get());
    }
    return isReady.getAsBoolean()
        ? HttpResponse.ok200().withPlainText("ready")
        : HttpResponse.ofCode(503).withPlainText("not ready");
  }
}
