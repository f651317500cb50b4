package org.snipewick.endpoint.http;

import static java.util.Objects.requireNonNull;

import io.activej.bytebuf.ByteBuf;
import io.activej.csp.ChannelSupplier;
import io.activej.eventloop.Eventloop;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpMethod;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.snipewick.endpoint.EndpointResponse;
import org.snipewick.endpoint.EngineCall;
import org.snipewick.endpoint.EngineClient;
import org.snipewick.endpoint.EventReceiver;
import org.snipewick.endpoint.StreamEvent;
import org.snipewick.failure.Failure;
import org.snipewick.failure.FailureException;
import org.snipewick.failure.FailureType;
import org.snipewick.failure.Outcome;
import org.snipewick.identity.RequestId;

/** Client of model engines over HTTP. Thread-safe. */
public final class HttpEngineClient implements EngineClient {
  private static final String COMPLETIONS_PATH = "/v1/chat/completions";
  private static final String REQUESTS_PATH = "/v1/requests/";
  private static final String EVENT_STREAM_TYPE = "text/event-stream";
  private static final int MAX_RESPONSE_BYTES = 8 * 1024 * 1024;
  private static final int MAX_EVENT_BYTES = 1024 * 1024;
  private static final int NOT_FOUND = 404;

  private final HttpExchanges exchanges;

  /** Exchanges by identifier of the dispatch; used on the event loop only. */
  private final Map<RequestId, HttpExchange> openExchanges = new HashMap<>();

  private HttpEngineClient(HttpExchanges exchanges) {
    this.exchanges = exchanges;
  }

  /**
   * Returns a client.
   *
   * @param eventloop event loop that runs its connections
   * @return client
   */
  public static HttpEngineClient of(Eventloop eventloop) {
    return new HttpEngineClient(HttpExchanges.of(eventloop));
  }

  @Override
  public CompletableFuture<EndpointResponse> call(EngineCall call) {
    requireNonNull(call, "call");
    return exchanges.start(() -> callOnEventLoop(call));
  }

  @Override
  public CompletableFuture<Optional<EndpointResponse>> stream(
      EngineCall call, EventReceiver receiver) {
    requireNonNull(receiver, "receiver");
    return exchanges.start(() -> streamOnEventLoop(call, receiver));
  }

  @Override
  public CompletableFuture<Void> resume(
      EngineCall call, int receivedEvents, EventReceiver receiver) {
    requireNonNull(receiver, "receiver");
    return exchanges.start(() -> resumeOnEventLoop(call, receivedEvents, receiver));
  }

  @Override
  public void cancel(EngineCall call) {
    requireNonNull(call, "call");
    exchanges.eventloop().execute(() -> cancelOnEventLoop(call));
  }

  private Promise<EndpointResponse> callOnEventLoop(EngineCall call) {
    HttpRequest request = completionRequest(call);
    HttpExchange exchange = addExchange(call);
    return exchanges
        .send(request, exchange)
        .then(
            response ->
                exchanges.readFully(response, exchange, call.dispatchId(), MAX_RESPONSE_BYTES))
        .whenComplete(() -> removeExchange(call, exchange));
  }

  private Promise<Optional<EndpointResponse>> streamOnEventLoop(
      EngineCall call, EventReceiver receiver) {
    HttpRequest request = completionRequest(call);
    HttpExchange exchange = addExchange(call);
    return exchanges
        .send(request, exchange)
        .then(response -> readStream(response, exchange, call, receiver))
        .whenComplete(() -> removeExchange(call, exchange));
  }

  private Promise<Void> resumeOnEventLoop(
      EngineCall call, int receivedEvents, EventReceiver receiver) {
    String path = REQUESTS_PATH + call.dispatchId() + "/stream?after=" + receivedEvents;
    HttpRequest request = HttpRequest.get(HttpExchanges.url(call.endpoint(), path));
    HttpExchange exchange = addExchange(call);
    return exchanges
        .send(request, exchange)
        .then(response -> readResumed(response, exchange, call, receiver))
        .mapException(
            FailureException.class,
            thrown -> thrown.failure().withOutcome(Outcome.UNKNOWN).toException())
        .whenComplete(() -> removeExchange(call, exchange));
  }

  private Promise<Optional<EndpointResponse>> readStream(
      HttpResponse response, HttpExchange exchange, EngineCall call, EventReceiver receiver) {
    if (!isEventStream(response)) {
      return exchanges
          .readFully(response, exchange, call.dispatchId(), MAX_RESPONSE_BYTES)
          .map(Optional::of);
    }
    if (!HttpExchanges.belongsTo(call.dispatchId(), response)) {
      exchange.takeBody(response).close();
      return HttpExchanges.incomplete("stream has the identifier of another dispatch");
    }
    return readEvents(exchange.takeBody(response), exchange, receiver).map(end -> Optional.empty());
  }

  private Promise<Void> readResumed(
      HttpResponse response, HttpExchange exchange, EngineCall call, EventReceiver receiver) {
    if (response.getCode() == NOT_FOUND) {
      return Promise.ofException(
          Failure.unknown(FailureType.NOT_FOUND, "request is unknown to the engine").toException());
    }
    if (!isEventStream(response) || !HttpExchanges.belongsTo(call.dispatchId(), response)) {
      return HttpExchanges.incomplete("engine did not resume the stream");
    }
    return readEvents(exchange.takeBody(response), exchange, receiver);
  }

  private Promise<Void> readEvents(
      ChannelSupplier<ByteBuf> body, HttpExchange exchange, EventReceiver receiver) {
    EventParser parser = EventParser.of(MAX_EVENT_BYTES);
    return readMore(body, exchange, parser, receiver);
  }

  private Promise<Void> readMore(
      ChannelSupplier<ByteBuf> body,
      HttpExchange exchange,
      EventParser parser,
      EventReceiver receiver) {
    return body.get()
        .then(
            buffer -> {
              if (buffer == null) {
                return HttpExchanges.<Void>incomplete("stream ended without its terminator");
              }
              Iterator<StreamEvent> events = parser.feed(buffer.asArray()).iterator();
              if (parser.exceedsLimit()) {
                body.close();
                return HttpExchanges.<Void>incomplete(
                    "event exceeds " + MAX_EVENT_BYTES + " bytes");
              }
              return deliver(events, receiver)
                  .then(
                      terminated ->
                          terminated ? close(body) : readMore(body, exchange, parser, receiver));
            },
            thrown -> Promise.<Void>ofException(toFailureException(exchange, thrown)));
  }

  private static Exception toFailureException(HttpExchange exchange, Exception thrown) {
    return thrown instanceof FailureException ? thrown : exchange.toFailure(thrown).toException();
  }

  private static Promise<Void> close(ChannelSupplier<ByteBuf> body) {
    body.close();
    return Promise.complete();
  }

  /**
   * Delivers events one after the other, each when the receiver is ready for it. Returns whether
   * the terminator was among them.
   */
  private static Promise<Boolean> deliver(Iterator<StreamEvent> events, EventReceiver receiver) {
    while (events.hasNext()) {
      StreamEvent event = events.next();
      CompletableFuture<Void> ready = receiver.onEvent(event);
      if (event.isDone()) {
        return Promise.of(true);
      }
      if (!ready.isDone()) {
        return Promise.ofFuture(ready).then(() -> deliver(events, receiver));
      }
    }
    return Promise.of(false);
  }

  private void cancelOnEventLoop(EngineCall call) {
    HttpExchange exchange = openExchanges.remove(call.dispatchId());
    if (exchange != null) {
      exchange.cancel();
    }
    String url = HttpExchanges.url(call.endpoint(), REQUESTS_PATH + call.dispatchId());
    HttpRequest request = HttpRequest.of(HttpMethod.DELETE, url);
    exchanges
        .send(request, new HttpExchange())
        .whenResult(response -> response.takeBodyStream().close());
  }

  private HttpExchange addExchange(EngineCall call) {
    HttpExchange exchange = new HttpExchange();
    openExchanges.put(call.dispatchId(), exchange);
    return exchange;
  }

  private void removeExchange(EngineCall call, HttpExchange exchange) {
    openExchanges.remove(call.dispatchId(), exchange);
  }

  private static HttpRequest completionRequest(EngineCall call) {
    HttpRequest request =
        HttpRequest.post(HttpExchanges.url(call.endpoint(), COMPLETIONS_PATH))
            .withHeader(HttpHeaders.CONTENT_TYPE, "application/json")
            .withHeader(EndpointHeaders.REQUEST_ID, call.dispatchId().toString())
            .withBody(call.body());
    call.idempotencyKey().ifPresent(key -> request.addHeader(EndpointHeaders.CLIENT_KEY, key));
    return request;
  }

  private static boolean isEventStream(HttpResponse response) {
    String type = response.getHeader(HttpHeaders.CONTENT_TYPE);
    return response.getCode() == 200 && type != null && type.startsWith(EVENT_STREAM_TYPE);
  }
}
