package org.snipewick.request.http;

import io.activej.bytebuf.ByteBuf;
import io.activej.eventloop.Eventloop;
import io.activej.http.AsyncServlet;
import io.activej.http.HttpHeader;
import io.activej.http.HttpHeaderValue;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpMethod;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.http.HttpServerConnection;
import io.activej.promise.Promise;
import io.activej.promise.Promises;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.snipewick.body.BodyTooLargeException;
import org.snipewick.body.RequestBodies;
import org.snipewick.endpoint.EndpointClients;
import org.snipewick.event.EventLog;
import org.snipewick.event.EventType;
import org.snipewick.failure.Failure;
import org.snipewick.failure.FailureException;
import org.snipewick.failure.FailureType;
import org.snipewick.identity.RequestId;
import org.snipewick.request.Answer;
import org.snipewick.request.CallContext;
import org.snipewick.request.CallerRequest;
import org.snipewick.request.InFlight;
import org.snipewick.request.RequestPipeline;
import org.snipewick.request.RetryAdvice;
import org.snipewick.time.TimerService;
import org.snipewick.transport.CallerConnections;

/** Converts HTTP requests into calls and their results into HTTP responses, on one event loop. */
final class CallerServlet implements AsyncServlet {
  private static final String HEALTH_PATH = "/health";
  private static final Failure CONNECT_NOT_SUPPORTED =
      Failure.notRun(FailureType.METHOD_NOT_ALLOWED, "CONNECT is not supported");

  private final CallerServerSettings settings;
  private final RequestPipeline requestPipeline;
  private final InFlight inFlight;
  private final EndpointClients clients;
  private final CallerConnections connections;
  private final RequestBodies bodies;
  private final TimerService timer;
  private final EventLog log;
  private final Supplier<RequestId> requestIds;

  CallerServlet(
      CallerServer.Dependencies dependencies,
      EndpointClients clients,
      CallerConnections connections,
      RequestBodies bodies) {
    this.settings = dependencies.settings();
    this.requestPipeline = dependencies.requestPipeline();
    this.inFlight = dependencies.inFlight();
    this.timer = dependencies.timer();
    this.log = dependencies.log();
    this.requestIds = dependencies.requestIds();
    this.clients = clients;
    this.connections = connections;
    this.bodies = bodies;
  }

  @Override
  public Promise<HttpResponse> serve(HttpRequest request) {
    Promise<HttpResponse> response = handle(request);
    return request.getMethod() == HttpMethod.HEAD
        ? response.map(loaded -> loaded.withBody(ByteBuf.empty()))
        : response;
  }

  private Promise<HttpResponse> handle(HttpRequest request) {
    if (request.getPath().equals(HEALTH_PATH)) {
      return Promise.of(Responses.health(inFlight.isHealthy()));
    }
    if (request.getMethod() == HttpMethod.CONNECT) {
      return Promise.of(refusal(CONNECT_NOT_SUPPORTED));
    }
    long receivedNanos = timer.nanoTime();
    if (declaredContentLength(request) > settings.maxBodyBytes()) {
      return Promise.of(refusal(tooLarge()));
    }
    // Read before the body: a body that arrived with its head shares a buffer with it, which others
    // may use once the body was read.
    String method = request.getMethod().name();
    String path = request.getPathAndQuery();
    Map<String, String> headers = headersOf(request);
    HttpServerConnection connection = request.getConnection();
    connections.beginBody(connection);
    Promise<RequestBodies.KeptBody> kept =
        bodies.read(
            request.takeBodyStream(),
            declaredContentLength(request),
            settings.maxBodyBytes(),
            () -> connections.recordProgress(connection));
    return Promises.timeout(settings.bodyTimeout(), kept)
        .then(
            body ->
                handleKept(
                    connection,
                    new CallerRequest(method, path, headers, body.bytes()),
                    body,
                    receivedNanos),
            thrown -> {
              kept.whenResult(RequestBodies.KeptBody::close);
              return Promise.of(bodyNotRead(connection, thrown));
            });
  }

  private HttpResponse bodyNotRead(HttpServerConnection connection, Exception thrown) {
    connections.endRequest(connection, timer.nanoTime());
    if (thrown instanceof FailureException refused) {
      return refusal(refused.failure());
    }
    connections.closeAfterResponse(connection);
    return refusal(bodyFailure(thrown));
  }

  private Promise<HttpResponse> handleKept(
      HttpServerConnection connection,
      CallerRequest received,
      RequestBodies.KeptBody body,
      long receivedNanos) {
    body.pin();
    CallContext context = CallContext.of(requestIds.get(), received, receivedNanos, clients);
    connections.beginRequest(connection, () -> onCallerDisconnected(context));
    // An answer may complete on another thread, but the body of a response belongs to its loop.
    CompletableFuture<HttpResponse> response =
        requestPipeline
            .serve(context)
            .handleAsync(
                (answer, thrown) -> toResponse(context, connection, body, answer, thrown),
                Eventloop.getCurrentEventloop());
    return Promise.ofCompletionStage(response)
        .whenComplete((value, thrown) -> endUnlessStreamed(connection, body, value));
  }

  private HttpResponse toResponse(
      CallContext context,
      HttpServerConnection connection,
      RequestBodies.KeptBody body,
      Answer answer,
      Throwable thrown) {
    if (thrown != null) {
      return problem(context, FailureException.unwrap(thrown));
    }
    if (answer instanceof Answer.Streamed streamed) {
      StreamBody events =
          new StreamBody(
              streamed.events(),
              () -> end(connection, body),
              () -> {
                body.close();
                onCallerDisconnected(context);
              });
      return Responses.streamed(context.id(), events);
    }
    return Responses.whole(context.id(), (Answer.Whole) answer);
  }

  private static HttpResponse problem(CallContext context, Failure failure) {
    HttpResponse response =
        Responses.problem(
            Optional.of(context.id()),
            RetryAdvice.withRetryAfter(failure),
            context.lifecycle().isDispatched());
    return failure.type() == FailureType.METHOD_NOT_ALLOWED
        ? Responses.withAllowed(response, context.request().path())
        : response;
  }

  private void endUnlessStreamed(
      HttpServerConnection connection, RequestBodies.KeptBody body, HttpResponse response) {
    if (response == null || response.isBodyLoaded()) {
      end(connection, body);
    }
  }

  private void end(HttpServerConnection connection, RequestBodies.KeptBody body) {
    body.close();
    connections.endRequest(connection, timer.nanoTime());
  }

  private void onCallerDisconnected(CallContext context) {
    if (!context.lifecycle().isCallerDisconnected()) {
      log.record(EventType.CALLER_LEFT, context.id().toString());
    }
    context.lifecycle().markCallerDisconnected();
  }

  private HttpResponse refusal(Failure failure) {
    return Responses.problem(Optional.empty(), failure, false);
  }

  /** Converts an exception of the body; recognizes one of the HTTP parser by its message. */
  private Failure bodyFailure(Exception thrown) {
    if (thrown instanceof io.activej.async.exception.AsyncTimeoutException) {
      return Failure.notRun(
          FailureType.MALFORMED_REQUEST,
          "body did not arrive within " + settings.bodyTimeout().toMillis() + " ms");
    }
    String text = String.valueOf(thrown.getMessage()).toLowerCase(Locale.ROOT);
    return thrown instanceof BodyTooLargeException
            || text.contains("size")
            || text.contains("exceed")
        ? tooLarge()
        : Failure.notRun(FailureType.MALFORMED_REQUEST, "body could not be read");
  }

  private Failure tooLarge() {
    return Failure.notRun(
        FailureType.REQUEST_TOO_LARGE, "body exceeds " + settings.maxBodyBytes() + " bytes");
  }

  private static long declaredContentLength(HttpRequest request) {
    String length = request.getHeader(HttpHeaders.CONTENT_LENGTH);
    try {
      return length == null ? 0 : Long.parseLong(length.trim());
    } catch (NumberFormatException malformed) {
      return 0;
    }
  }

  private static Map<String, String> headersOf(HttpRequest request) {
    Map<String, String> headers = new HashMap<>();
    for (Map.Entry<HttpHeader, HttpHeaderValue> header : request.getHeaders()) {
      headers.putIfAbsent(
          header.getKey().toString().toLowerCase(Locale.ROOT), header.getValue().toString());
    }
    return headers;
  }
}
