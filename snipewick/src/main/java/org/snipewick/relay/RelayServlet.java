package org.snipewick.relay;

import static java.util.Objects.requireNonNull;

import com.codahale.metrics.Counter;
import io.activej.http.AsyncServlet;
import io.activej.http.HttpMethod;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.http.HttpServerConnection;
import io.activej.promise.Promise;
import io.activej.promise.Promises;
import java.time.Duration;
import java.util.Optional;
import org.snipewick.body.RequestBodies;
import org.snipewick.event.CountedEvent;
import org.snipewick.event.EventType;
import org.snipewick.failure.Failure;
import org.snipewick.failure.FailureException;
import org.snipewick.failure.FailureType;
import org.snipewick.memory.MemoryAccount;
import org.snipewick.transport.CallerConnections;

/** Reads complete requests and passes them through the filter chain. */
final class RelayServlet implements AsyncServlet {
  /** Applies until the first routing plan with the operators' limit has been read. */
  private static final int MAX_BODY_BYTES_WITHOUT_PLAN = 16 * 1024 * 1024;

  /** Time for the previous response to be written, which the event loop does when it runs next. */
  private static final Duration RESPONSE_WRITE_DELAY = Duration.ofMillis(20);

  private final RelayDependencies dependencies;
  private final RelayDispatcher dispatcher;
  private final CallerConnections connections;
  private final RelayTelemetry telemetry;
  private final RequestBodies requestBodies;
  private final RelayFilter.Next filterChain;
  private final Counter unreadResponsesClosed;
  private boolean isRefusing;

  RelayServlet(
      RelayDependencies dependencies, RelayDispatcher dispatcher, CallerConnections connections) {
    this.dependencies = requireNonNull(dependencies, "dependencies");
    this.dispatcher = requireNonNull(dispatcher, "dispatcher");
    this.connections = requireNonNull(connections, "connections");
    this.telemetry = new RelayTelemetry(dependencies);
    CountedEvent gaveWay =
        new CountedEvent(
            EventType.BODY_GAVE_WAY,
            dependencies.events(),
            dependencies.timer(),
            dependencies.metrics().counter("relay_bodies_gave_way"));
    this.requestBodies =
        new RequestBodies(dependencies.memory(), dependencies.timer(), gaveWay::record);
    this.unreadResponsesClosed = dependencies.metrics().counter("relay_unread_responses_closed");
    this.filterChain =
        new RouteFilter(dependencies.plans())
            .before(
                new ApiKeyFilter(dependencies.plans(), dependencies.headerNames())
                    .before(
                        dispatcher
                            .plannedStop()
                            .before(
                                dispatcher
                                    .quarantine()
                                    .before(
                                        new QuotaFilter(dependencies.quotas(), dependencies.timer())
                                            .before(dispatcher::dispatch)))));
  }

  /** Refuses all requests from now on. */
  void refuseNewRequests() {
    isRefusing = true;
  }

  boolean isRefusing() {
    return isRefusing;
  }

  @Override
  public Promise<HttpResponse> serve(HttpRequest received) {
    HttpServerConnection connection = received.getConnection();
    if (connections.isClosing(connection)) {
      // Bytes after a malformed request may look like another request, which must not be served.
      return Promises.delay(RESPONSE_WRITE_DELAY)
          .whenResult(() -> connections.close(connection))
          .map(
              closed ->
                  problemResponse(
                      "", malformed("connection is closed after the previous response")));
    }
    long receivedNanos = dependencies.timer().nanoTime();
    Headers headers = RelayResponses.headersOf(received);
    Optional<String> error = requestError(received, headers);
    if (error.isPresent()) {
      connections.closeAfterResponse(received.getConnection());
      return Promise.of(problemResponse("", malformed(error.get())));
    }
    // Read before the body: a body that arrived with its head shares a buffer with it, which others
    // may use once the body was read.
    HttpMethod method = received.getMethod();
    String pathAndQuery = received.getPathAndQuery();
    String path = received.getPath();
    connections.beginBody(connection);
    return requestBodies
        .read(
            received.takeBodyStream(),
            headers.contentLength(),
            maxBodyBytes(),
            () -> connections.recordProgress(connection))
        .then(
            body ->
                relay(
                    connection,
                    RelayRequest.of(
                        method,
                        pathAndQuery,
                        path,
                        headers,
                        body.bytes(),
                        receivedNanos,
                        dependencies.headerNames()),
                    body),
            thrown -> Promise.of(bodyNotRead(received, headers, thrown)));
  }

  private HttpResponse bodyNotRead(HttpRequest received, Headers headers, Exception thrown) {
    connections.endRequest(received.getConnection(), dependencies.timer().nanoTime());
    if (thrown instanceof FailureException refused) {
      String id = headers.first(dependencies.headerNames().requestId()).orElse("");
      telemetry.bodyRefused(id, refused.failure());
      return problemResponse(id, refused.failure());
    }
    connections.closeAfterResponse(received.getConnection());
    return problemResponse("", malformed("body cannot be read: " + thrown));
  }

  private Optional<String> requestError(HttpRequest received, Headers headers) {
    if (received.getMethod() == HttpMethod.CONNECT) {
      return Optional.of("method CONNECT is not supported");
    }
    if (headers.isRepeated("host") || headers.isRepeated(dependencies.headerNames().requestId())) {
      return Optional.of(
          "the Host header or the header of the request identifier occurs more than once");
    }
    return headers.framingError();
  }

  private int maxBodyBytes() {
    return dependencies
        .plans()
        .current()
        .map(plan -> plan.limits().maxBodyBytes())
        .orElse(MAX_BODY_BYTES_WITHOUT_PLAN);
  }

  private Promise<HttpResponse> relay(
      HttpServerConnection connection, RelayRequest request, RequestBodies.KeptBody body) {
    RelayCall call = new RelayCall(request, body);
    body.onEvicted(() -> dispatcher.bodyEvicted(call));
    connections.beginRequest(connection, () -> dispatcher.callerDisconnected(call));
    call.onFinished(
        () -> {
          body.close();
          connections.endRequest(connection, dependencies.timer().nanoTime());
        });
    return startFilters(call)
        .then(
            response -> Promise.of(keepUntilWritten(connection, request.id(), response)),
            thrown -> {
              Failure failure = FailureException.unwrap(thrown);
              if (!call.isFinished()) {
                telemetry.refused(request, failure, dependencies.timer().nanoTime());
                call.finish();
              }
              return Promise.of(problemResponse(request.id(), failure));
            });
  }

  /** Counts the bytes of a response until its caller has read it, or the account takes them. */
  private HttpResponse keepUntilWritten(
      HttpServerConnection connection, String requestId, HttpResponse response) {
    if (!response.isBodyLoaded()) {
      return response;
    }
    MemoryAccount.Holder holder =
        dependencies
            .memory()
            .open(
                () -> {
                  unreadResponsesClosed.inc();
                  connections.abort(connection, "response used most of the memory");
                });
    if (!holder.tryAdd(response.getBody().readRemaining())) {
      return problemResponse(
          requestId,
          Failure.unknown(FailureType.ANSWER_INCOMPLETE, "no memory for the body of the response"));
    }
    connections.onceWritten(connection, holder::close);
    return response;
  }

  private Promise<HttpResponse> startFilters(RelayCall call) {
    if (isRefusing) {
      return Promise.ofException(PlannedStop.refusal().toException());
    }
    try {
      return filterChain.handle(call);
    } catch (RuntimeException | Error defect) {
      // Filters throw before the call is queued.
      return Promise.ofException(
          Failure.notRun(FailureType.INTERNAL, "unexpected exception: " + defect).toException());
    }
  }

  private HttpResponse problemResponse(String requestId, Failure failure) {
    return RelayResponses.problem(failure, requestId, dependencies.headerNames());
  }

  private static Failure malformed(String detail) {
    return Failure.notRun(FailureType.MALFORMED_REQUEST, detail);
  }
}
