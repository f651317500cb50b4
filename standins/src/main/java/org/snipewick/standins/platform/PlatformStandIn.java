package org.snipewick.standins.platform;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import io.activej.eventloop.Eventloop;
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

/** Stand-in for the platform: its store, which serves the published calls, within its rates. */
public final class PlatformStandIn implements StandIn {
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
  private long listBytes;

  private PlatformStandIn(Eventloop eventloop, Supplier<Faults> faults, PlatformSettings settings) {
    this.eventloop = eventloop;
    this.settings = settings;
    rows = new RowCalls(eventloop, faults, store);
    writeLimit = new RateLimit(settings.writesPerSecond(), now());
    readLimit = new RateLimit(settings.readsPerSecond(), now());
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
    boolean isRead = call.method() == HttpMethod.GET;
    if (!(isRead ? readLimit : writeLimit).tryTake(now())) {
      return Promise.of(Responses.error(429, "over the rate limit"));
    }
    reads += isRead ? 1 : 0;
    writes += isRead ? 0 : 1;
    Optional<Promise<HttpResponse>> ofRows = rows.serve(call);
    if (ofRows.isPresent()) {
      boolean isList = call.query("table").filter(Registrations.TABLES::contains).isPresent();
      return isList ? ofRows.get().whenResult(this::countList) : ofRows.get();
    }
    return objects.serve(call).map(Promise::of).orElseGet(Responses::unknownPath);
  }

  private void countList(HttpResponse response) {
    listBytes += response.getBody().readRemaining();
  }

  @Override
  public Promise<HttpResponse> control(Call call) throws JsonProcessingException {
    switch (call.path()) {
      case "/control/instances" -> register(call.json(JsonNode.class));
      case "/control/weights" -> objects.weights(call.json(String[].class));
      default -> {
        return Responses.unknownPath();
      }
    }
    return Promise.of(HttpResponse.ofCode(204));
  }

  private void register(JsonNode instances) {
    if (settings.listLagMillis() == 0) {
      registerNow(instances);
    } else {
      eventloop.delayBackground(settings.listLagMillis(), () -> registerNow(instances));
    }
  }

  private void registerNow(JsonNode instances) {
    registrations.change(instances, now());
    rows.changed();
  }

  @Override
  public Object truth() {
    return Map.of(
        "writes",
        writes,
        "reads",
        reads,
        "rows",
        store.countExcept(Registrations.TABLES),
        "listBytes",
        listBytes);
  }

  private long now() {
    return eventloop.currentTimeMillis();
  }
}
