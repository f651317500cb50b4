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
import org.snipewick.standins.engine.Generation.Fate;
import org.snipewick.standins.server.Call;
import org.snipewick.standins.server.EndpointState;
import org.snipewick.standins.server.Faults;
import org.snipewick.standins.server.Responses;
import org.snipewick.standins.server.StandIn;

/** Stand-in for a model engine. */
public final class EngineStandIn implements StandIn {
  private static final long MILLIS_PER_SECOND = 1000;
  private static final String REQUESTS = "/v1/requests/";
  private static final String STREAM = "/stream";

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
   * Returns a factory of engines.
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
      case "/v1/chat/completions" -> complete(call);
      case "/load" -> Promise.of(Responses.json(200, reports.read()));
      case "/cache-events" -> Promise.of(Responses.json(200, cacheEvents(call)));
      case "/orders" -> Promise.of(orders.serve(call));
      default ->
          call.pathAfter(REQUESTS)
              .map(rest -> serveRequest(call, rest))
              .orElseGet(Responses::unknownPath);
    };
  }

  private Promise<HttpResponse> complete(Call call) throws JsonProcessingException {
    ChatRequest request = ChatRequest.of(call.json(JsonNode.class));
    if (!orders.serves(request.model())) {
      return Promise.of(notRun(404, "model is not loaded"));
    }
    if (request.promptTokens() + request.outputTokens() > settings.kvTokens()) {
      return Promise.of(notRun(400, "request exceeds the memory of the engine"));
    }
    long now = eventloop.currentTimeMillis();
    state.countDispatch(now);
    String id = call.header("X-Request-Id").orElseGet(generations::newId);
    Generation generation = new Generation(id, request, now / MILLIS_PER_SECOND);
    generations.add(id, call.header("X-Client-Key"), generation);
    batch.add(generation);
    return request.streamed() ? stream(call, generation, 0) : whole(call, generation);
  }

  private Promise<HttpResponse> serveRequest(Call call, String rest) {
    boolean resume = call.method() == HttpMethod.GET && rest.endsWith(STREAM);
    String id = resume ? rest.substring(0, rest.length() - STREAM.length()) : rest;
    Optional<Generation> known = generations.find(id);
    if (known.isEmpty() || known.get().fate() == Fate.CANCELLED) {
      return Promise.of(Responses.error(404, "no such request"));
    }
    if (resume) {
      return resume(call, known.get());
    }
    if (call.method() != HttpMethod.DELETE) {
      return Responses.unknownPath();
    }
    cancel(known.get());
    return Promise.of(HttpResponse.ofCode(204));
  }

  private Promise<HttpResponse> resume(Call call, Generation generation) {
    int after = Integer.parseInt(call.query("after").orElse("0"));
    if (after < 0 || after > generation.events().size()) {
      return Promise.of(Responses.error(400, "no such position"));
    }
    if (generation.fate() == Fate.ABANDONED && !generation.isFinished()) {
      batch.add(generation);
    }
    generation.fate(Fate.RUNNING);
    return stream(call, generation, after);
  }

  private Promise<HttpResponse> stream(Call call, Generation generation, int position) {
    int breakAfter = faults.get().breakStreamAfter();
    EventStream stream = new EventStream(generation, call.connection(), position, breakAfter);
    call.connection()
        .whenGone(
            () -> {
              if (stream.detach()) {
                abandon(generation);
              }
            });
    return Promise.of(
        HttpResponse.ok200()
            .withHeader(HttpHeaders.CONTENT_TYPE, "text/event-stream")
            .withBodyStream(stream));
  }

  private Promise<HttpResponse> whole(Call call, Generation generation) {
    SettablePromise<HttpResponse> answer = new SettablePromise<>();
    call.connection().whenGone(() -> abandon(generation));
    awaitWhole(call, generation, answer);
    return answer;
  }

  private void awaitWhole(Call call, Generation generation, SettablePromise<HttpResponse> answer) {
    int breakAfter = faults.get().breakStreamAfter();
    if (breakAfter > 0 && generation.events().size() > breakAfter) {
      call.connection().whenGone(() -> {});
      generation.fate(Fate.BROKEN);
      call.connection().abort();
      answer.set(Responses.error(500, "broken off"));
    } else if (generation.isFinished()) {
      generation.fate(Fate.COMPLETED);
      answer.set(Responses.json(200, generation.answer()));
    } else if (generation.fate() != Fate.RUNNING) {
      call.connection().abort();
      answer.set(Responses.error(500, "cancelled"));
    } else {
      generation.listen(() -> awaitWhole(call, generation, answer));
    }
  }

  private void abandon(Generation generation) {
    if (generation.fate() == Fate.RUNNING) {
      batch.remove(generation);
      generation.fate(Fate.ABANDONED);
    }
  }

  private void cancel(Generation generation) {
    if (generation.fate() != Fate.COMPLETED) {
      batch.remove(generation);
      generation.fate(Fate.CANCELLED);
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
