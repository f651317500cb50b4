package org.snipewick.standins.platform;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import io.activej.eventloop.Eventloop;
import io.activej.http.HttpHeader;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpMethod;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;
import org.snipewick.standins.server.Call;
import org.snipewick.standins.server.Faults;
import org.snipewick.standins.server.RateLimit;
import org.snipewick.standins.server.Responses;
import org.snipewick.standins.server.StandIn;

/**
 * Stand-in for the platform: a store of rows and objects whose reads and writes are rate-limited.
 */
public final class PlatformStandIn implements StandIn {
  /** Number of the store's history, which rises with each restore. */
  private static final HttpHeader ERA = HttpHeaders.of("Store-Era");

  private final Eventloop eventloop;
  private final PlatformSettings settings;
  private final RowStore store = new RowStore();
  private final RowCalls rows;
  private final ObjectCalls objects = new ObjectCalls();
  private final Registrations registrations = new Registrations(store);
  private final RateLimit writeLimit;
  private final RateLimit readLimit;
  private long writes;
  private long reads;

  /** Total size of the responses to reads of the tables of registrations. */
  private long listBytes;

  private PlatformStandIn(Eventloop eventloop, Supplier<Faults> faults, PlatformSettings settings) {
    this.eventloop = eventloop;
    this.settings = settings;
    rows = new RowCalls(eventloop, faults, store);
    writeLimit = new RateLimit(settings.writesPerSecond(), nowEpochMillis());
    readLimit = new RateLimit(settings.readsPerSecond(), nowEpochMillis());
  }

  /**
   * Returns a factory that creates stand-in platforms.
   *
   * @param settings rate limits and lag
   * @return factory
   */
  public static Factory of(PlatformSettings settings) {
    requireNonNull(settings, "settings");
    return (eventloop, faults) -> new PlatformStandIn(eventloop, faults, settings);
  }

  @Override
  public Promise<HttpResponse> serve(Call call) throws JsonProcessingException {
    return respond(call).map(response -> response.withHeader(ERA, String.valueOf(store.era())));
  }

  private Promise<HttpResponse> respond(Call call) throws JsonProcessingException {
    boolean isRead = call.method() == HttpMethod.GET;
    if (!(isRead ? readLimit : writeLimit).tryTake(nowEpochMillis())) {
      return Promise.of(Responses.error(429, "rate limit exceeded"));
    }
    reads += isRead ? 1 : 0;
    writes += isRead ? 0 : 1;
    Optional<Promise<HttpResponse>> rowResponse = rows.serve(call);
    if (rowResponse.isPresent()) {
      boolean isRegistrationTable =
          call.query("table").filter(Registrations.TABLES::contains).isPresent();
      return isRegistrationTable
          ? rowResponse.get().whenResult(this::addListBytes)
          : rowResponse.get();
    }
    return objects.serve(call).map(Promise::of).orElseGet(Responses::unknownPath);
  }

  private void addListBytes(HttpResponse response) {
    listBytes += response.getBody().readRemaining();
  }

  @Override
  public Promise<HttpResponse> control(Call call) throws JsonProcessingException {
    switch (call.path()) {
      case "/control/instances" -> register(call.json(JsonNode.class));
      case "/control/restore" -> restore(call.json(JsonNode.class).path("ageMillis").asLong());
      case "/control/weights" -> objects.setWeights(call.json(String[].class));
      default -> {
        return Responses.unknownPath();
      }
    }
    return Promise.of(HttpResponse.ofCode(204));
  }

  /** Restores the store from a copy of the given age. */
  private void restore(long ageMillis) {
    store.restore(nowEpochMillis() - ageMillis, nowEpochMillis());
    rows.notifyFeeds();
  }

  private void register(JsonNode instances) {
    if (settings.listLagMillis() == 0) {
      applyRegistrations(instances);
    } else {
      eventloop.delayBackground(settings.listLagMillis(), () -> applyRegistrations(instances));
    }
  }

  private void applyRegistrations(JsonNode instances) {
    registrations.update(instances, nowEpochMillis());
    rows.notifyFeeds();
  }

  @Override
  public Object truth() {
    return Map.of(
        "writes",
        writes,
        "reads",
        reads,
        "rows",
        store.countRowsExcept(Registrations.TABLES),
        "listBytes",
        listBytes);
  }

  private long nowEpochMillis() {
    return eventloop.currentTimeMillis();
  }
}
