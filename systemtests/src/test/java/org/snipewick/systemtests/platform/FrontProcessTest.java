package org.snipewick.systemtests.platform;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.assertj.core.api.Assertions.assertThat;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.snipewick.bench.cluster.Await;
import org.snipewick.bench.cluster.FrontInstance;

/** The front as a process beside the store's real calls: plans, keys, outages and signals. */
class FrontProcessTest {
  private static final Duration IN_FORCE = Duration.ofSeconds(4);
  private static final Duration REVOKED = Duration.ofSeconds(5);
  private static final Duration PATIENCE = Duration.ofSeconds(15);
  private static final Duration GRACE = Duration.ofSeconds(8);

  private final ExecutorService executor = Executors.newCachedThreadPool();
  private final AtomicInteger served = new AtomicInteger();
  private final CountDownLatch slowBegan = new CountDownLatch(1);
  private final CountDownLatch slowEnds = new CountDownLatch(1);
  private HttpServer endpoint;
  private FrontInstance front;

  @BeforeEach
  void start() throws IOException {
    endpoint = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
    endpoint.createContext("/", this::answer);
    endpoint.setExecutor(executor);
    endpoint.start();
    front = FrontInstance.start();
    plan(1, "key", "/safe/");
    front.put(
        "servers",
        "endpoint-1",
        ("{\"service\":\"orders\",\"address\":\"127.0.0.1:%d\",\"zone\":\"a\",\"slots\":4,"
                + "\"state\":\"ready\",\"born\":1}")
            .formatted(endpoint.getAddress().getPort()));
    front.awaitReady();
  }

  @AfterEach
  void stop() {
    slowEnds.countDown();
    front.close();
    endpoint.stop(0);
    executor.shutdownNow();
  }

  private void answer(HttpExchange exchange) throws IOException {
    served.incrementAndGet();
    if (exchange.getRequestURI().getPath().endsWith("slow")) {
      slowBegan.countDown();
      await(slowEnds);
    }
    byte[] body = "answer".getBytes(UTF_8);
    exchange
        .getResponseHeaders()
        .add("Request-Id", exchange.getRequestHeaders().getFirst("Request-Id"));
    exchange.getResponseHeaders().add("Server-Stamp", "stamp");
    exchange.sendResponseHeaders(200, body.length);
    exchange.getResponseBody().write(body);
    exchange.close();
  }

  private static void await(CountDownLatch latch) {
    try {
      assertThat(latch.await(20, TimeUnit.SECONDS)).isTrue();
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
  }

  /** Puts a plan into the store: a public route, and one for the callers of a team. */
  private void plan(int version, String key, String keyedPrefix) {
    String route =
        "{\"name\":\"%s\",\"host\":\"127.0.0.1\",\"prefix\":\"%s\",\"kind\":\"safe\","
            + "\"timeout_ms\":10000,\"target_latency_ms\":300,\"priority\":0,"
            + "\"service\":\"orders\",\"max_attempts\":1,\"public\":%b}";
    front.put(
        "op",
        "config",
        ("{\"version\":%d,\"routes\":[%s,%s],\"services\":[{\"name\":\"orders\"}],"
                + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":65536,"
                + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
                + "\"tenants\":[{\"name\":\"team\",\"api_keys\":[\"%s\"]}]}")
            .formatted(
                version,
                route.formatted("public", "/open/", true),
                route.formatted("keyed", keyedPrefix, false),
                key));
  }

  private CompletableFuture<HttpResponse<String>> ask(String path) {
    Map<String, String> headers =
        Map.of("Request-Id", "r-" + served.get(), "Api-Key", "key", "Deadline-Ms", "9000");
    return front.ask(path, headers);
  }

  private int status(String path) {
    return ask(path).join().statusCode();
  }

  @Test
  void shouldServeWhatThePlanAllowsWhenItChanges() {
    HttpResponse<String> first = ask("/safe/a").join();
    assertThat(first.body()).isEqualTo("answer");
    assertThat(first.headers().firstValue("Server-Stamp")).contains("stamp");
    assertThat(status("/other/a")).isEqualTo(404);

    plan(2, "key", "/other/");
    Await.until(IN_FORCE, "new route", () -> status("/other/a") == 200);
    assertThat(status("/safe/a")).isEqualTo(404);

    plan(3, "another key", "/other/");
    Await.until(IN_FORCE, "key taken away", () -> status("/other/a") == 401);
    assertThat(status("/open/a")).isEqualTo(200);
  }

  @Test
  void shouldHonourNoKeyBeyondItsBoundWhenStoreIsAway() {
    front.storeFaults("{\"hang\":true}");
    final long since = System.nanoTime();
    Await.until(REVOKED, "keys no longer proved", () -> status("/safe/a") == 503);
    assertThat(ask("/safe/a").join().headers().firstValue("Retry-After")).isPresent();
    assertThat(status("/open/a")).isEqualTo(200);
    assertThat(Duration.ofNanos(System.nanoTime() - since)).isLessThan(REVOKED.plusSeconds(2));

    front.storeFaults("{}");
    Await.until(PATIENCE, "keys proved again", () -> status("/safe/a") == 200);
  }

  @Test
  void shouldFinishRequestInFlightWhenToldToStop() {
    final CompletableFuture<HttpResponse<String>> slow = ask("/open/slow");
    await(slowBegan);
    front.process().terminate();
    Await.until(PATIENCE, "not ready", () -> !front.isReady());
    assertThat(slow).isNotDone();
    slowEnds.countDown();

    assertThat(slow.join().statusCode()).isEqualTo(200);
    final long answeredAt = System.nanoTime();
    front.process().awaitExit();
    assertThat(Duration.ofNanos(System.nanoTime() - answeredAt)).isLessThan(GRACE);
    assertThat(front.process().log()).contains("\"process stopped\"");
  }

  @Test
  void shouldGoOnServingWhenSettingsAreReloadedAgainAndAgain() {
    final CompletableFuture<HttpResponse<String>> slow = ask("/open/slow");
    await(slowBegan);
    for (int signal = 0; signal < 3; signal++) {
      front.process().reload();
      assertThat(status("/open/a")).isEqualTo(200);
    }
    slowEnds.countDown();

    assertThat(slow.join().statusCode()).isEqualTo(200);
    Await.until(
        PATIENCE,
        "reloads in the log",
        () -> front.process().log().lines().filter(line -> line.contains("\"104\"")).count() == 3);
  }
}
