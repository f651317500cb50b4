package org.snipewick.standins.engine;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import io.activej.eventloop.Eventloop;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpMethod;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import java.util.Optional;
import java.util.function.Supplier;
import org.snipewick.standins.engine.Generation.Status;
import org.snipewick.standins.server.Call;
import org.snipewick.standins.server.EndpointState;
import org.snipewick.standins.server.Faults;
import org.snipewick.standins.server.Responses;
import org.snipewick.standins.server.StandIn;

/**
 * Stand-in for a model engine that serves chat completions, load reports, cache events and orders.
 */
public final class EngineStandIn implements StandIn {
  private static final long MILLIS_PER_SECOND = 1000;
  private static final String REQUESTS_PREFIX = "/v1/requests/";
  private static final String STREAM_SUFFIX = "/stream";

  private final Eventloop eventloop;
  private final Supplier<Faults> faults;
  private final EngineSettings settings;
  private final EndpointState state = new EndpointState();
  private final Orders orders;
  private final PrefixCache cache;
  private final Batch batch;
  private final LoadReports reports;
  private final Generations generations = new Generations();

  private EngineStandIn(Eventloop eventloop, Supplier<Faults> faults, EngineSettings settings) {
    this.eventloop = eventloop;
    this.faults = faults;
    this.settings = settings;
    orders = new Orders(settings);
    cache = new PrefixCache(settings.cacheTokens() / ChatRequest.BLOCK_TOKENS);
    batch = new Batch(eventloop, settings, () -> faults.get().slowFactor(), cache);
    reports = new LoadReports(eventloop, settings, state, batch, orders);
  }

  /**
   * Returns a factory that creates stand-in engines.
   *
   * @param settings settings of the engine
   * @return factory
   */
  public static Factory of(EngineSettings settings) {
    requireNonNull(settings, "settings");
    return (eventloop, faults) -> new EngineStandIn(eventloop, faults, settings);
  }

  @Override
  public Promise<HttpResponse> serve(Call call) throws JsonProcessingException {
    return switch (call.path()) {
      case "/v1/chat/completions" -> serveChatCompletion(call);
      case "/load" -> Promise.of(Responses.json(200, reports.read()));
      case "/cache-events" -> Promise.of(Responses.json(200, cacheEvents(call)));
      case "/orders" -> Promise.of(orders.serve(call));
      default ->
          call.pathAfter(REQUESTS_PREFIX)
              .map(rest -> resumeOrCancel(call, rest))
              .orElseGet(Responses::unknownPath);
    };
  }

  private Promise<HttpResponse> serveChatCompletion(Call call) throws JsonProcessingException {
    ChatRequest request = ChatRequest.of(call.json(JsonNode.class));
    if (!orders.serves(request.model())) {
      return Promise.of(notRun(404, "model is not loaded"));
    }
    if (request.promptTokens() + request.outputTokens() > settings.kvTokens()) {
      return Promise.of(notRun(400, "prompt and output tokens exceed the KV cache of the engine"));
    }
    long nowEpochMillis = eventloop.currentTimeMillis();
    state.recordDispatch(nowEpochMillis);
    String id = call.header("X-Request-Id").orElseGet(generations::newId);
    Generation generation = new Generation(id, request, nowEpochMillis / MILLIS_PER_SECOND);
    generations.add(id, call.header("X-Client-Key"), generation);
    batch.add(generation);
    return request.streamed()
        ? streamResponse(call, generation, 0)
        : wholeResponse(call, generation);
  }

  private Promise<HttpResponse> resumeOrCancel(Call call, String rest) {
    boolean isResume = call.method() == HttpMethod.GET && rest.endsWith(STREAM_SUFFIX);
    String id = isResume ? rest.substring(0, rest.length() - STREAM_SUFFIX.length()) : rest;
    Optional<Generation> found = generations.find(id);
    if (found.isEmpty() || found.get().status() == Status.CANCELLED) {
      return Promise.of(Responses.error(404, "no such request"));
    }
    if (isResume) {
      return resume(call, found.get());
    }
    if (call.method() != HttpMethod.DELETE) {
      return Responses.unknownPath();
    }
    cancel(found.get());
    return Promise.of(HttpResponse.ofCode(204));
  }

  private Promise<HttpResponse> resume(Call call, Generation generation) {
    int after = Integer.parseInt(call.query("after").orElse("0"));
    if (after < 0 || after > generation.events().size()) {
      return Promise.of(Responses.error(400, "query parameter after is out of range"));
    }
    if (generation.status() == Status.ABANDONED && !generation.isFinished()) {
      batch.add(generation);
    }
    generation.setStatus(Status.RUNNING);
    return streamResponse(call, generation, after);
  }

  private Promise<HttpResponse> streamResponse(Call call, Generation generation, int position) {
    int breakAfterEvents = faults.get().breakStreamAfter();
    EventStream stream = new EventStream(generation, call.connection(), position, breakAfterEvents);
    call.connection()
        .onDisconnect(
            () -> {
              if (stream.end()) {
                abandon(generation);
              }
            });
    return Promise.of(
        HttpResponse.ok200()
            .withHeader(HttpHeaders.CONTENT_TYPE, "text/event-stream")
            .withBodyStream(stream));
  }

  private Promise<HttpResponse> wholeResponse(Call call, Generation generation) {
    SettablePromise<HttpResponse> response = new SettablePromise<>();
    call.connection().onDisconnect(() -> abandon(generation));
    completeWhenFinished(call, generation, response);
    return response;
  }

  private void completeWhenFinished(
      Call call, Generation generation, SettablePromise<HttpResponse> response) {
    int breakAfterEvents = faults.get().breakStreamAfter();
    if (breakAfterEvents > 0 && generation.events().size() > breakAfterEvents) {
      call.connection().onDisconnect(() -> {});
      generation.setStatus(Status.BROKEN);
      call.connection().abort();
      response.set(Responses.error(500, "response aborted by fault injection"));
    } else if (generation.isFinished()) {
      generation.setStatus(Status.COMPLETED);
      response.set(Responses.json(200, generation.response()));
    } else if (generation.status() != Status.RUNNING) {
      call.connection().abort();
      response.set(Responses.error(500, "request cancelled"));
    } else {
      generation.onNextChange(() -> completeWhenFinished(call, generation, response));
    }
  }

  private void abandon(Generation generation) {
    if (generation.status() == Status.RUNNING) {
      batch.remove(generation);
      generation.setStatus(Status.ABANDONED);
    }
  }

  private void cancel(Generation generation) {
    if (generation.status() != Status.COMPLETED) {
      batch.remove(generation);
      generation.setStatus(Status.CANCELLED);
    }
  }

  private PrefixCache.Page cacheEvents(Call call) {
    long after = Long.parseLong(call.query("after").orElse("0"));
    return cache.read(after, eventloop.currentTimeMillis() - settings.reportLagMillis());
  }

  private static HttpResponse notRun(int status, String detail) {
    return Responses.error(status, detail).withHeader(HttpHeaders.of("X-Not-Run"), "true");
  }

  @Override
  public Promise<HttpResponse> control(Call call) throws JsonProcessingException {
    return state.control(call, eventloop.currentTimeMillis());
  }

  @Override
  public Object truth() {
    return generations.truth(orders.received(), state.latestAfterLeavingMillis());
  }
}
