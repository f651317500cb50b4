package org.snipewick.systemtests.platform;

import static java.util.concurrent.TimeUnit.SECONDS;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse.BodyHandlers;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.UnaryOperator;
import org.snipewick.event.EventType;
import org.snipewick.platform.PlatformStoreAdapter;
import org.snipewick.standins.platform.PlatformSettings;
import org.snipewick.standins.platform.PlatformStandIn;
import org.snipewick.standins.server.StandInServer;
import org.snipewick.store.access.StoreAccess;
import org.snipewick.store.access.StoreCalls;
import org.snipewick.store.access.StoreSettings;
import org.snipewick.time.SystemTimerService;

/** A stand-in platform with its control interface, and this system's access to it. */
final class PlatformFixture implements AutoCloseable {
  private static final long SEED = 7;
  private static final long EVENT_TIMEOUT_SECONDS = 20;
  private static final ObjectMapper JSON = new ObjectMapper();

  private final HttpClient control = HttpClient.newHttpClient();
  private final SystemTimerService timer = SystemTimerService.of("test-timer");
  private final Map<EventType, CompletableFuture<Void>> events = new ConcurrentHashMap<>();
  private final StandInServer server;
  private final StoreAccess platform;

  private PlatformFixture(PlatformSettings limits, UnaryOperator<StoreSettings> customizer) {
    server = StandInServer.start(0, PlatformStandIn.of(limits));
    platform =
        StoreAccess.of(
            PlatformStoreAdapter.of(),
            customizer.apply(lenientSettings()),
            timer,
            (type, subject, details) -> event(type).complete(null),
            new Random(SEED));
  }

  /** Starts a platform with default limits. */
  static PlatformFixture start(UnaryOperator<StoreSettings> customizer) {
    return new PlatformFixture(PlatformSettings.defaults(), customizer);
  }

  /** Starts a platform with the given limits. */
  static PlatformFixture start(
      double writesPerSecond, long listLagMillis, UnaryOperator<StoreSettings> customizer) {
    return new PlatformFixture(new PlatformSettings(writesPerSecond, 0, listLagMillis), customizer);
  }

  /** Starts a platform with a limit of reads per second. */
  static PlatformFixture startWithReadRate(double readsPerSecond) {
    return new PlatformFixture(
        new PlatformSettings(0, readsPerSecond, 0), settings -> settings.withRates(250, 1_500));
  }

  /** Returns calls to the store without retries; the caller of this method closes them. */
  StoreCalls calls(long timeoutMillis) {
    return PlatformStoreAdapter.of().connect(lenientSettings().withTimeoutMillis(timeoutMillis));
  }

  private StoreSettings lenientSettings() {
    return StoreSettings.of(server.host(), server.port())
        .withTimeoutMillis(10_000)
        .withRates(250, 1_500)
        .withCircuit(new StoreSettings.Circuit(1_000, 50));
  }

  StoreAccess platform() {
    return platform;
  }

  SystemTimerService timer() {
    return timer;
  }

  /** Replaces all faults. */
  void setFaults(String json) {
    call("PUT", "/control/faults", json);
  }

  void put(String path, Object content) {
    try {
      call("PUT", path, JSON.writeValueAsString(content));
    } catch (JsonProcessingException failure) {
      throw new UncheckedIOException(failure);
    }
  }

  String get(String path) {
    return call("GET", path, "");
  }

  /** Returns what the stand-in has counted and stored, whatever its faults are. */
  JsonNode counts() {
    try {
      return JSON.readTree(call("GET", "/control/truth", ""));
    } catch (JsonProcessingException failure) {
      throw new UncheckedIOException(failure);
    }
  }

  /** Returns a future that completes when the first event of a type has been recorded. */
  CompletableFuture<Void> event(EventType type) {
    return events.computeIfAbsent(type, key -> new CompletableFuture<>());
  }

  /** Waits for the first event of a type. */
  void awaitEvent(EventType type) {
    event(type).orTimeout(EVENT_TIMEOUT_SECONDS, SECONDS).join();
  }

  private String call(String method, String path, String body) {
    URI address = URI.create("http://" + server.host() + ":" + server.port() + path);
    HttpRequest request =
        HttpRequest.newBuilder(address).method(method, BodyPublishers.ofString(body)).build();
    try {
      return control.send(request, BodyHandlers.ofString()).body();
    } catch (IOException failure) {
      throw new UncheckedIOException(failure);
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
      throw new IllegalStateException(interrupted);
    }
  }

  /** Stops the stand-in platform; connections to it are refused from then on. */
  void stopPlatform() {
    server.close();
  }

  @Override
  public void close() {
    platform.close();
    server.close();
    timer.close();
  }
}
