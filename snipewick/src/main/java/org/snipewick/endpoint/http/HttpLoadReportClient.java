package org.snipewick.endpoint.http;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.activej.bytebuf.ByteBuf;
import io.activej.eventloop.Eventloop;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import java.io.IOException;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.snipewick.endpoint.LoadReport;
import org.snipewick.endpoint.LoadReportClient;
import org.snipewick.failure.Failure;
import org.snipewick.failure.FailureType;
import org.snipewick.pool.EndpointStatus;
import org.snipewick.transport.HttpTransport;
import org.snipewick.transport.TransportSettings;

/** Client that reads load reports over HTTP, on keep-alive connections. Thread-safe. */
public final class HttpLoadReportClient implements LoadReportClient {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final String LOAD_PATH = "/load";
  private static final int MAX_REPORT_BYTES = 64 * 1024;
  private static final Duration KEEP_ALIVE_TIMEOUT = Duration.ofSeconds(10);
  private static final Duration IO_TIMEOUT = Duration.ofSeconds(2);

  private final Eventloop eventloop;
  private final HttpTransport transport;

  private HttpLoadReportClient(Eventloop eventloop, HttpTransport transport) {
    this.eventloop = eventloop;
    this.transport = transport;
  }

  /**
   * Returns a client.
   *
   * @param eventloop event loop that runs its connections
   * @return client
   */
  public static HttpLoadReportClient of(Eventloop eventloop) {
    requireNonNull(eventloop, "eventloop");
    TransportSettings settings =
        TransportSettings.of(IO_TIMEOUT)
            .withReadWriteTimeout(IO_TIMEOUT)
            .withMaxBodyBytes(MAX_REPORT_BYTES)
            .withKeepAlive(KEEP_ALIVE_TIMEOUT);
    return new HttpLoadReportClient(eventloop, HttpTransport.of(eventloop, settings));
  }

  @Override
  public CompletableFuture<LoadReport> read(EndpointStatus endpoint) {
    requireNonNull(endpoint, "endpoint");
    CompletableFuture<LoadReport> result = new CompletableFuture<>();
    eventloop.execute(() -> HttpExchanges.forward(readOnEventLoop(endpoint), result));
    return result;
  }

  private Promise<LoadReport> readOnEventLoop(EndpointStatus endpoint) {
    return transport
        .send(HttpRequest.get(HttpExchanges.url(endpoint, LOAD_PATH)))
        .then(HttpLoadReportClient::loadBody)
        .map(HttpLoadReportClient::parse)
        .mapException(
            thrown ->
                Failure.notRun(FailureType.NO_ENDPOINT, "cannot read load report: " + thrown)
                    .toException());
  }

  private static Promise<ByteBuf> loadBody(HttpResponse response) {
    return response.getCode() == 200
        ? response.loadBody(MAX_REPORT_BYTES)
        : Promise.ofException(new IOException("HTTP status " + response.getCode()));
  }

  private static LoadReport parse(ByteBuf body) throws IOException {
    return JSON.readValue(body.getArray(), LoadReport.class);
  }
}
