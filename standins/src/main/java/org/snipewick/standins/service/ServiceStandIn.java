package org.snipewick.standins.service;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import io.activej.eventloop.Eventloop;
import io.activej.http.HttpMethod;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import io.activej.promise.Promises;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Supplier;
import org.snipewick.standins.server.Call;
import org.snipewick.standins.server.EndpointState;
import org.snipewick.standins.server.Faults;
import org.snipewick.standins.server.Responses;
import org.snipewick.standins.server.StandIn;

/**
 * Stand-in for a plain service. Each call that runs takes effect, also if it is a retry or a
 * duplicate request: idempotency keys are counted, not checked.
 */
public final class ServiceStandIn implements StandIn {
  private final Eventloop eventloop;
  private final Supplier<Faults> faults;
  private final ServiceSettings settings;
  private final EndpointState state = new EndpointState();
  private final Map<String, Integer> effectsByBooking = new TreeMap<>();
  private final Map<String, Integer> callsByKey = new TreeMap<>();
  private int running;
  private long calls;

  private ServiceStandIn(Eventloop eventloop, Supplier<Faults> faults, ServiceSettings settings) {
    this.eventloop = eventloop;
    this.faults = faults;
    this.settings = settings;
  }

  /**
   * Returns a factory that creates stand-in services.
   *
   * @param settings settings of the service
   * @return factory
   */
  public static Factory of(ServiceSettings settings) {
    requireNonNull(settings, "settings");
    return (eventloop, faults) -> new ServiceStandIn(eventloop, faults, settings);
  }

  @Override
  public Promise<HttpResponse> serve(Call call) throws JsonProcessingException {
    if (call.method() == HttpMethod.GET && call.path().equals("/load")) {
      return Promise.of(Responses.json(200, load()));
    }
    if (running >= settings.maxInFlight()) {
      return Promise.of(Responses.refused("too many calls in flight"));
    }
    return run(call, booking(call));
  }

  private Promise<HttpResponse> run(Call call, String booking) {
    calls++;
    running++;
    state.recordDispatch(eventloop.currentTimeMillis());
    call.header("Idempotency-Key").ifPresent(key -> callsByKey.merge(key, 1, Integer::sum));
    if (!booking.isEmpty()) {
      effectsByBooking.merge(booking, 1, Integer::sum);
    }
    HttpResponse response = Responses.json(200, content(call, booking));
    long workMillis = Math.round(settings.workMillis() * faults.get().slowFactor());
    return Promises.delay(workMillis, response).whenComplete(() -> running--);
  }

  private Map<String, Object> content(Call call, String booking) {
    Map<String, Object> content = new LinkedHashMap<>();
    content.put("service", settings.name());
    content.put("replica", settings.id());
    content.put("method", call.method().name());
    content.put("path", call.path());
    content.put("booking", booking);
    content.put("body", call.text());
    return content;
  }

  /** Returns the booking named in the JSON body of a POST call, or the empty string. */
  private static String booking(Call call) {
    if (call.method() != HttpMethod.POST) {
      return "";
    }
    try {
      return call.json(JsonNode.class).path("booking").asText("");
    } catch (JsonProcessingException notJson) {
      return "";
    }
  }

  private Map<String, Object> load() {
    Map<String, Object> load = new LinkedHashMap<>();
    load.put("state", state.name());
    load.put("running", running);
    load.put("queued", 0);
    load.put("maxInFlight", settings.maxInFlight());
    return load;
  }

  @Override
  public Promise<HttpResponse> control(Call call) throws JsonProcessingException {
    return state.control(call, eventloop.currentTimeMillis());
  }

  @Override
  public Object truth() {
    Map<String, Object> truth = new LinkedHashMap<>();
    truth.put("effects", effectsByBooking);
    truth.put("calls", calls);
    truth.put("byKey", callsByKey);
    truth.put("latestAfterLeavingMillis", state.latestAfterLeavingMillis());
    return truth;
  }
}
