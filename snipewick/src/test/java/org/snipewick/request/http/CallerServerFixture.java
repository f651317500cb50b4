package org.snipewick.request.http;

import com.codahale.metrics.MetricRegistry;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import org.snipewick.catalogue.Catalogue;
import org.snipewick.catalogue.CatalogueSource;
import org.snipewick.catalogue.Entry;
import org.snipewick.endpoint.EndpointClients;
import org.snipewick.event.EventLog;
import org.snipewick.event.EventType;
import org.snipewick.identity.InstanceId;
import org.snipewick.identity.RequestId;
import org.snipewick.identity.Tier;
import org.snipewick.request.FakeLedger;
import org.snipewick.request.FakePool;
import org.snipewick.request.InFlight;
import org.snipewick.request.RequestPipeline;
import org.snipewick.request.RequestServices;
import org.snipewick.request.TeamIndex;
import org.snipewick.time.SystemTimerService;

/** Server for callers in the test's process, with fake collaborators and an HTTP client. */
final class CallerServerFixture implements AutoCloseable {
  static final String TOKEN = "secret";

  final FakePool pool = new FakePool();
  final FakeLedger ledger = new FakeLedger();
  final RecordingLimits limits = new RecordingLimits();
  final MetricRegistry metrics = new MetricRegistry();
  private final Map<EventType, CountDownLatch> latches = new ConcurrentHashMap<>();
  final List<EventType> events = Collections.synchronizedList(new ArrayList<>());
  final SystemTimerService timer = SystemTimerService.of("test-timer");
  final InFlight inFlight = InFlight.of(timer);
  final HttpClient client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
  final CallerServer server;

  private CallerServerFixture(
      CallerServerSettings settings, Optional<EndpointClients> endpointClients) {
    EventLog log = (type, subject, details) -> record(type);
    RequestServices services =
        new RequestServices(catalogue(), limits, ledger, pool, timer, log, metrics);
    AtomicLong sequence = new AtomicLong();
    try {
      CallerServer.Dependencies dependencies =
          new CallerServer.Dependencies(
              settings,
              RequestPipeline.of(services, inFlight),
              inFlight,
              timer,
              log,
              metrics,
              () -> RequestId.of(InstanceId.of("entry-1"), 1, sequence.incrementAndGet()));
      server =
          endpointClients.isPresent()
              ? CallerServer.listen(dependencies, eventloop -> endpointClients.get())
              : CallerServer.listen(dependencies);
    } catch (IOException failed) {
      throw new UncheckedIOException(failed);
    }
  }

  static CallerServerFixture start() {
    return start(
        CallerServerSettings.of(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0)));
  }

  static CallerServerFixture start(CallerServerSettings settings) {
    return new CallerServerFixture(settings, Optional.empty());
  }

  /** Starts a server that sends requests with the given clients on each event loop. */
  static CallerServerFixture start(EndpointClients clients) {
    return new CallerServerFixture(
        CallerServerSettings.of(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0)),
        Optional.of(clients));
  }

  /** Waits until an event was recorded. */
  void awaitEvent(EventType type) throws InterruptedException {
    if (!latch(type).await(10, TimeUnit.SECONDS)) {
      throw new AssertionError("no event " + type);
    }
  }

  private void record(EventType type) {
    events.add(type);
    latch(type).countDown();
  }

  private CountDownLatch latch(EventType type) {
    return latches.computeIfAbsent(type, key -> new CountDownLatch(1));
  }

  static String chat(boolean streamed) {
    return chat("hello", streamed);
  }

  static String chat(String text, boolean streamed) {
    return "{\"model\":\"wickpool\",\"stream\":"
        + streamed
        + ",\"messages\":[{\"role\":\"user\",\"content\":\""
        + text
        + "\"}]}";
  }

  HttpResponse<String> post(String path, String body, String... headers) {
    return postAsync(path, body, headers).join();
  }

  CompletableFuture<HttpResponse<String>> postAsync(String path, String body, String... headers) {
    return client
        .sendAsync(
            request(path, headers).POST(HttpRequest.BodyPublishers.ofString(body)).build(),
            HttpResponse.BodyHandlers.ofString())
        .orTimeout(30, TimeUnit.SECONDS);
  }

  HttpResponse<String> get(String path, String... headers) {
    return client
        .sendAsync(request(path, headers).GET().build(), HttpResponse.BodyHandlers.ofString())
        .join();
  }

  HttpRequest.Builder request(String path, String... headers) {
    HttpRequest.Builder builder =
        HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + server.port() + path))
            .timeout(Duration.ofSeconds(20))
            .setHeader("Authorization", "Bearer " + TOKEN);
    for (int index = 0; index < headers.length; index += 2) {
      builder.setHeader(headers[index], headers[index + 1]);
    }
    return builder;
  }

  @Override
  public void close() {
    server.close();
    timer.close();
  }

  static CatalogueSource catalogue() {
    Catalogue catalogue =
        Catalogue.ofAll(
            1,
            List.of(
                new Entry.Team("fleet", "ops", Tier.TWO, TeamIndex.sha256(TOKEN), 1000, 1000, 1000),
                new Entry.Model("wickpool", "ops", Tier.THREE, 2000, 1000, 10_000),
                new Entry.Service(
                    "ordersvc", "ops", Tier.ONE, 10_000, 100_000, 10, Set.of("GET"))));
    return new CatalogueSource() {
      @Override
      public Catalogue current() {
        return catalogue;
      }

      @Override
      public void subscribe(Consumer<Catalogue> listener) {}
    };
  }
}
