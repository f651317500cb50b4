package org.snipewick.relay;

import static java.util.Objects.requireNonNull;

import io.activej.bytebuf.ByteBuf;
import io.activej.http.AsyncServlet;
import io.activej.http.HttpMethod;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.http.HttpServerConnection;
import io.activej.promise.Promise;
import io.activej.promise.Promises;
import java.time.Duration;
import java.util.Optional;
import org.snipewick.failure.Failure;
import org.snipewick.failure.FailureException;
import org.snipewick.failure.FailureType;
import org.snipewick.transport.CallerConnections;

/** Reads requests whole and sends them on their way through the filters. */
final class RelayServlet implements AsyncServlet {
  /** Bound until a plan tells the operators' own. */
  private static final int MAX_BODY_BYTES = 16 * 1024 * 1024;

  /** Another instance can take the request at once. */
  private static final Duration RETRY_ELSEWHERE = Duration.ofMillis(50);

  /** Ample for the earlier response to be written, which the event loop does in its next turn. */
  private static final Duration WRITE_TIME = Duration.ofMillis(20);

  private final RelayServices services;
  private final RelayDispatcher dispatcher;
  private final CallerConnections connections;
  private final RelayRecords records;
  private final RelayFilter.Next way;
  private boolean isRefusing;

  RelayServlet(RelayServices services, RelayDispatcher dispatcher, CallerConnections connections) {
    this.services = requireNonNull(services, "services");
    this.dispatcher = requireNonNull(dispatcher, "dispatcher");
    this.connections = requireNonNull(connections, "connections");
    this.records = new RelayRecords(services);
    this.way =
        new RouteFilter(services.plans())
            .before(
                new KeyFilter(services.plans(), services.names())
                    .before(new QuotaFilter(services.quotas()).before(dispatcher::dispatch)));
  }

  /** Refuses all requests from now on. */
  void refuseNew() {
    isRefusing = true;
  }

  boolean isRefusing() {
    return isRefusing;
  }

  @Override
  public Promise<HttpResponse> serve(HttpRequest received) {
    HttpServerConnection connection = received.getConnection();
    if (connections.isEnding(connection)) {
      return Promises.delay(WRITE_TIME)
          .whenResult(() -> connections.close(connection))
          .map(written -> refuse("", malformed("connection has ended")));
    }
    long receivedNanos = services.timer().nanoTime();
    Headers headers = RelayResponses.headersOf(received);
    Optional<String> fault = fault(received, headers);
    if (fault.isPresent()) {
      connections.closeAfterResponse(received.getConnection());
      return Promise.of(refuse("", malformed(fault.get())));
    }
    return received
        .loadBody(bodyLimit())
        .then(
            body -> relay(received, headers, body, receivedNanos),
            thrown -> {
              connections.closeAfterResponse(received.getConnection());
              return Promise.of(refuse("", malformed("body could not be read: " + thrown)));
            });
  }

  private Optional<String> fault(HttpRequest received, Headers headers) {
    if (received.getMethod() == HttpMethod.CONNECT) {
      return Optional.of("no tunnels are offered");
    }
    if (headers.isRepeated("host") || headers.isRepeated(services.names().requestId())) {
      return Optional.of("a header that identifies the request is given twice");
    }
    return headers.framingFault();
  }

  private int bodyLimit() {
    return services
        .plans()
        .current()
        .map(plan -> plan.limits().maxBodyBytes())
        .orElse(MAX_BODY_BYTES);
  }

  private Promise<HttpResponse> relay(
      HttpRequest received, Headers headers, ByteBuf body, long receivedNanos) {
    RelayRequest request =
        RelayRequest.of(
            received.getMethod(),
            received.getPathAndQuery(),
            received.getPath(),
            headers,
            body.getArray(),
            receivedNanos,
            services.names());
    RelayCall call = new RelayCall(request);
    HttpServerConnection connection = received.getConnection();
    connections.begin(connection, () -> dispatcher.callerLeft(call));
    call.whenFinished(() -> connections.end(connection, services.timer().nanoTime()));
    return begin(call)
        .then(
            Promise::of,
            thrown -> {
              Failure failure = FailureException.unwrap(thrown);
              if (!call.isOver()) {
                records.refused(request, failure, services.timer().nanoTime());
                call.finish();
              }
              return Promise.of(refuse(request.id(), failure));
            });
  }

  private Promise<HttpResponse> begin(RelayCall call) {
    return isRefusing
        ? Promise.ofException(
            Failure.notRun(FailureType.STOPPING, "instance is stopping")
                .withRetryAfter(RETRY_ELSEWHERE)
                .toException())
        : way.handle(call);
  }

  private HttpResponse refuse(String requestId, Failure failure) {
    return RelayResponses.problem(failure, requestId, services.names());
  }

  private static Failure malformed(String detail) {
    return Failure.notRun(FailureType.MALFORMED_REQUEST, detail);
  }
}
