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

/** Tests the front as a process with real store calls: plans, keys, outages and signals. */
class FrontProcessTest {
  private static final Duration PLAN_PROPAGATION_LIMIT = Duration.ofSeconds(4);
  private static final Duration KEY_REVOCATION_LIMIT = Duration.ofSeconds(5);
  private static final Duration WAIT_TIMEOUT = Duration.ofSeconds(15);
  private static final Duration GRACE_PERIOD = Duration.ofSeconds(8);

  private final ExecutorService executor = Executors.newCachedThreadPool();
  private final AtomicInteger requestCount = new AtomicInteger();
  private final CountDownLatch slowRequestStarted = new CountDownLatch(1);
  private final CountDownLatch slowRequestMayEnd = new CountDownLatch(1);
  private HttpServer endpoint;
  private FrontInstance front;

  @BeforeEach
  void start() throws IOException {
    endpoint = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
    endpoint.createContext("/", this::respond);
    endpoint.setExecutor(executor);
    endpoint.start();
    front = FrontInstance.start();
    putPlan(1, "key", "/safe/");
    front.putRow(
        "servers",
        "endpoint-1",
        ("{\"service\":\"orders\",\"address\":\"127.0.0.1:%d\",\"zone\":\"a\",\"slots\":4,"
                + "\"state\":\"ready\",\"born\":1}")
            .formatted(endpoint.getAddress().getPort()));
    front.awaitReady();
  }

  @AfterEach
  void stop() {
    slowRequestMayEnd.countDown();
    front.close();
    endpoint.stop(0);
    executor.shutdownNow();
  }

  private void respond(HttpExchange exchange) throws IOException {
    requestCount.incrementAndGet();
    if (exchange.getRequestURI().getPath().endsWith("slow")) {
      slowRequestStarted.countDown();
      await(slowRequestMayEnd);
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

  /** Writes a plan to the store: a public route, and one for the callers of a team. */
  private void putPlan(int version, String key, String keyedPrefix) {
    String route =
        "{\"name\":\"%s\",\"host\":\"127.0.0.1\",\"prefix\":\"%s\",\"kind\":\"safe\","
            + "\"timeout_ms\":10000,\"target_latency_ms\":300,\"priority\":0,"
            + "\"service\":\"orders\",\"max_attempts\":1,\"public\":%b}";
    front.putRow(
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

  private CompletableFuture<HttpResponse<String>> send(String path) {
    Map<String, String> headers =
        Map.of("Request-Id", "r-" + requestCount.get(), "Api-Key", "key", "Deadline-Ms", "9000");
    return front.sendGet(path, headers);
  }

  private int status(String path) {
    return send(path).join().statusCode();
  }

  @Test
  void shouldApplyRoutesAndKeysOfNewPlanWhenPlanChanges() {
    HttpResponse<String> first = send("/safe/a").join();
    assertThat(first.body()).isEqualTo("answer");
    assertThat(first.headers().firstValue("Server-Stamp")).contains("stamp");
    assertThat(status("/other/a")).isEqualTo(404);

    putPlan(2, "key", "/other/");
    Await.until(PLAN_PROPAGATION_LIMIT, "new route", () -> status("/other/a") == 200);
    assertThat(status("/safe/a")).isEqualTo(404);

    putPlan(3, "another key", "/other/");
    Await.until(
        PLAN_PROPAGATION_LIMIT, "refusal of the revoked key", () -> status("/other/a") == 401);
    assertThat(status("/open/a")).isEqualTo(200);
  }

  @Test
  void shouldRefuseKeysAfterRevocationLimitWhenStoreIsUnavailable() {
    front.setStoreFaults("{\"hang\":true}");
    final long outageBeganNanos = System.nanoTime();
    Await.until(
        KEY_REVOCATION_LIMIT, "refusal of unverifiable keys", () -> status("/safe/a") == 503);
    assertThat(send("/safe/a").join().headers().firstValue("Retry-After")).isPresent();
    assertThat(status("/open/a")).isEqualTo(200);
    assertThat(Duration.ofNanos(System.nanoTime() - outageBeganNanos))
        .isLessThan(KEY_REVOCATION_LIMIT.plusSeconds(2));

    front.setStoreFaults("{}");
    Await.until(
        WAIT_TIMEOUT, "acceptance of keys after the outage", () -> status("/safe/a") == 200);
  }

  @Test
  void shouldFinishRequestInFlightWhenTerminated() {
    final CompletableFuture<HttpResponse<String>> slow = send("/open/slow");
    await(slowRequestStarted);
    front.process().terminate();
    Await.until(WAIT_TIMEOUT, "front reports that it is not ready", () -> !front.isReady());
    assertThat(slow).isNotDone();
    slowRequestMayEnd.countDown();

    assertThat(slow.join().statusCode()).isEqualTo(200);
    final long respondedAtNanos = System.nanoTime();
    front.process().awaitExit();
    assertThat(Duration.ofNanos(System.nanoTime() - respondedAtNanos)).isLessThan(GRACE_PERIOD);
    assertThat(front.process().log()).contains("\"process stopped\"");
  }

  /** Guards against calls that are cut off without a response when the grace period ends. */
  @Test
  void shouldAnswerCallBeforeGraceEndsWhenItsEndpointIsStillAtWork() {
    final CompletableFuture<HttpResponse<String>> slow = send("/open/slow");
    await(slowRequestStarted);
    front.process().terminate();
    final long terminatedAtNanos = System.nanoTime();

    assertThat(slow.join().statusCode()).isEqualTo(502);
    assertThat(slow.join().body()).contains("\"outcome\":\"unknown\"");
    Duration elapsed = Duration.ofNanos(System.nanoTime() - terminatedAtNanos);
    assertThat(elapsed).isBetween(GRACE_PERIOD.multipliedBy(5).dividedBy(6), GRACE_PERIOD);
    front.process().awaitExit();
    assertThat(Duration.ofNanos(System.nanoTime() - terminatedAtNanos)).isLessThan(GRACE_PERIOD);
  }

  /** Guards against calls that are passed on although they cannot end before the process does. */
  @Test
  void shouldRefuseCallThatCannotEndWhenTerminated() {
    final CompletableFuture<HttpResponse<String>> slow = send("/open/slow");
    await(slowRequestStarted);
    front.process().terminate();
    Await.until(WAIT_TIMEOUT, "front reports that it is not ready", () -> !front.isReady());

    HttpResponse<String> late = send("/open/a").join();
    assertThat(late.statusCode()).isEqualTo(503);
    assertThat(late.body()).contains("\"outcome\":\"not-run\"");
    assertThat(late.headers().firstValue("Retry-After")).isPresent();
    assertThat(requestCount).hasValue(1);
    slowRequestMayEnd.countDown();
    assertThat(slow.join().statusCode()).isEqualTo(200);
  }

  @Test
  void shouldKeepServingWhenSettingsAreReloadedRepeatedly() {
    final CompletableFuture<HttpResponse<String>> slow = send("/open/slow");
    await(slowRequestStarted);
    for (int reload = 0; reload < 3; reload++) {
      front.process().reload();
      assertThat(status("/open/a")).isEqualTo(200);
    }
    slowRequestMayEnd.countDown();

    assertThat(slow.join().statusCode()).isEqualTo(200);
    Await.until(
        WAIT_TIMEOUT,
        "reloads in the log",
        () -> front.process().log().lines().filter(line -> line.contains("\"104\"")).count() == 3);
  }
}
