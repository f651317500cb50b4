package org.snipewick.standins.platform;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import io.activej.eventloop.Eventloop;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpMethod;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import java.util.stream.Stream;
import org.snipewick.standins.platform.RowStore.Operation;
import org.snipewick.standins.platform.RowStore.Result;
import org.snipewick.standins.server.Call;
import org.snipewick.standins.server.Faults;
import org.snipewick.standins.server.RateLimit;
import org.snipewick.standins.server.Responses;
import org.snipewick.standins.server.StandIn;

/** Stand-in for the platform. */
public final class PlatformStandIn implements StandIn {
  private static final String TABLE = "/table";
  private static final String ROWS = "/table/";
  private static final String OBJECTS = "/objects/";
  private static final String WEIGHTS = "/weights/";
  private static final String INSTANCES = "/instances";

  private final Eventloop eventloop;
  private final Supplier<Faults> faults;
  private final PlatformSettings settings;
  private final RowStore rows = new RowStore();
  private final Map<String, byte[]> objects = new HashMap<>();
  private final InstanceListing instanceList;
  private final RateLimit writeLimit;
  private final RateLimit readLimit;
  private final RateLimit weightLimit;
  private Optional<Set<String>> storedWeights = Optional.empty();
  private long writes;
  private long reads;

  private PlatformStandIn(Eventloop eventloop, Supplier<Faults> faults, PlatformSettings settings) {
    this.eventloop = eventloop;
    this.faults = faults;
    this.settings = settings;
    this.instanceList = new InstanceListing(settings.listKind());
    writeLimit = new RateLimit(settings.writesPerSecond(), now());
    readLimit = new RateLimit(settings.readsPerSecond(), now());
    weightLimit = new RateLimit(settings.weightsPerSecond(), now());
  }

  /**
   * Returns a factory of platforms.
   *
   * @param settings limits
   * @return factory
   */
  public static Factory of(PlatformSettings settings) {
    requireNonNull(settings, "settings");
    return (eventloop, faults) -> new PlatformStandIn(eventloop, faults, settings);
  }

  @Override
  public Promise<HttpResponse> serve(Call call) throws JsonProcessingException {
    if (call.path().startsWith(WEIGHTS)) {
      return weightLimit.tryTake(now()) ? Promise.of(weights(call)) : overRate();
    }
    return call.method() == HttpMethod.GET ? serveRead(call) : serveWrite(call);
  }

  private Promise<HttpResponse> serveRead(Call call) {
    if (!readLimit.tryTake(now())) {
      return overRate();
    }
    reads++;
    if (call.path().equals(INSTANCES)) {
      HttpResponse list = instanceList.serve(call, now() - settings.listLagMillis());
      return Promise.of(list);
    }
    if (call.path().equals(TABLE)) {
      String prefix = call.query("prefix").orElse("");
      return Promise.of(Responses.json(200, rows.scan(prefix, readTime())));
    }
    return call.pathAfter(ROWS)
        .map(key -> Promise.of(readRow(key)))
        .or(() -> call.pathAfter(OBJECTS).map(name -> Promise.of(readObject(name))))
        .orElseGet(Responses::unknownPath);
  }

  private Promise<HttpResponse> serveWrite(Call call) throws JsonProcessingException {
    if (!writeLimit.tryTake(now())) {
      return overRate();
    }
    writes++;
    if (call.path().equals(TABLE) && call.method() == HttpMethod.POST) {
      return Promise.of(writeBatch(call));
    }
    Optional<String> object = call.pathAfter(OBJECTS);
    if (object.isPresent() && call.method() == HttpMethod.PUT) {
      objects.put(object.get(), call.body());
      return Promise.of(HttpResponse.ofCode(204));
    }
    return call.pathAfter(ROWS)
        .map(key -> Promise.of(writeRow(call, key)))
        .orElseGet(Responses::unknownPath);
  }

  private HttpResponse writeBatch(Call call) throws JsonProcessingException {
    List<Result> results =
        Stream.of(call.json(Operation[].class))
            .map(operation -> rows.apply(operation, now()))
            .toList();
    return Responses.json(200, results);
  }

  private HttpResponse writeRow(Call call, String key) {
    boolean insert = call.header("If-None-Match").isPresent();
    Optional<Long> version = call.header("If-Match").map(PlatformStandIn::version);
    if (insert == version.isPresent()) {
      return Responses.error(428, "one condition is required");
    }
    boolean delete = call.method() == HttpMethod.DELETE;
    String name = delete ? "delete" : insert ? "insert" : "replace";
    Operation operation = new Operation(name, key, version.orElse(0L), call.text());
    Result result = rows.apply(operation, now());
    if (!result.applied()) {
      return Responses.json(412, result.current());
    }
    int status = delete ? 204 : insert ? 201 : 200;
    return withVersion(HttpResponse.ofCode(status), result.version());
  }

  private HttpResponse readRow(String key) {
    return rows.read(key, readTime())
        .map(row -> withVersion(HttpResponse.ok200().withPlainText(row.value()), row.version()))
        .orElseGet(() -> Responses.error(404, "no such row"));
  }

  private HttpResponse readObject(String name) {
    byte[] content = objects.get(name);
    return content == null
        ? Responses.error(404, "no such object")
        : HttpResponse.ok200().withBody(content);
  }

  private HttpResponse weights(Call call) {
    String name = call.pathAfter(WEIGHTS).orElse("");
    int status = storedWeights.map(stored -> stored.contains(name)).orElse(true) ? 200 : 404;
    return call.method() == HttpMethod.HEAD
        ? HttpResponse.ofCode(status)
        : HttpResponse.ofCode(status).withPlainText("weights of " + name);
  }

  @Override
  public Promise<HttpResponse> control(Call call) throws JsonProcessingException {
    switch (call.path()) {
      case "/control/instances" -> instanceList.change(call.json(JsonNode.class), now());
      case "/control/weights" -> storedWeights = Optional.of(Set.of(call.json(String[].class)));
      default -> {
        return Responses.unknownPath();
      }
    }
    return Promise.of(HttpResponse.ofCode(204));
  }

  @Override
  public Object truth() {
    return Map.of(
        "writes",
        writes,
        "reads",
        reads,
        "rows",
        rows.size(),
        "listBytes",
        instanceList.bytesServed());
  }

  private long readTime() {
    Faults present = faults.get();
    return present.staleReads() ? now() - present.staleMillis() : now();
  }

  private long now() {
    return eventloop.currentTimeMillis();
  }

  private static long version(String entityTag) {
    return Long.parseLong(entityTag.replace("\"", "").trim());
  }

  private static HttpResponse withVersion(HttpResponse response, long version) {
    return response.withHeader(HttpHeaders.ETAG, "\"" + version + "\"");
  }

  private static Promise<HttpResponse> overRate() {
    return Promise.of(Responses.error(429, "over the rate limit"));
  }
}
