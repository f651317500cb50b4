package org.snipewick.request.http;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.snipewick.endpoint.http.FakeEndpoint;

@Timeout(60)
class ManyCallersTest {
  private static final String CHAT = "/v1/chat/completions";
  private static final int CALLERS = 300;
  private static final long SEED = 20261204L;

  private final CountDownLatch arrived = new CountDownLatch(CALLERS);
  private final List<CountDownLatch> responseGates = new ArrayList<>();

  @Test
  void shouldGiveEachCallerItsOwnResponseWhenEndpointRespondsOutOfOrder() throws Exception {
    for (int number = 0; number < CALLERS; number++) {
      responseGates.add(new CountDownLatch(1));
    }
    List<CountDownLatch> shuffledGates = new ArrayList<>(responseGates);
    Collections.shuffle(shuffledGates, new Random(SEED));
    try (CallerServerFixture fixture = CallerServerFixture.start();
        FakeEndpoint endpoint = FakeEndpoint.start(this::echo)) {
      fixture.pool.setEndpoints(endpoint.status("engine-1"));
      List<CompletableFuture<HttpResponse<String>>> responses = new ArrayList<>();
      for (int number = 0; number < CALLERS; number++) {
        responses.add(
            fixture.postAsync(
                CHAT, CallerServerFixture.chat("caller-" + number + ".", number % 2 == 0)));
      }
      assertThat(arrived.await(30, TimeUnit.SECONDS)).as("seed " + SEED).isTrue();
      shuffledGates.forEach(CountDownLatch::countDown);

      for (int number = 0; number < CALLERS; number++) {
        assertThat(responses.get(number).join().body())
            .contains("caller-" + number + ".")
            .containsOnlyOnce("caller-");
      }
      assertThat(endpoint.dispatches()).isEqualTo(CALLERS);
    }
  }

  @Test
  void shouldCloseConnectionWhenHeadersOrBodyAreSlow() throws Exception {
    CallerServerSettings settings =
        CallerServerSettings.of(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
            .withTimeouts(Duration.ofMillis(300), Duration.ofMillis(300));
    try (CallerServerFixture fixture = CallerServerFixture.start(settings);
        RawCaller silent = RawCaller.connect(fixture);
        RawCaller slowHeaders = RawCaller.connect(fixture);
        RawCaller slowBody = RawCaller.connect(fixture)) {
      slowHeaders.send("POST " + CHAT + " HTTP/1.1\r\nHost: te");
      slowBody.send("POST " + CHAT + " HTTP/1.1\r\nContent-Length: 100\r\n\r\n{");

      assertThat(slowBody.readUntil("}")).contains("400", "problem:1001", "did not arrive");
      assertThat(slowHeaders.readAll()).doesNotContain("200 OK");
      assertThat(silent.readAll()).isEmpty();
    }
  }

  @Test
  void shouldStartHeaderTimeoutAtFirstByteWhenConnectionIsReused() throws Exception {
    Duration headerTimeout = Duration.ofSeconds(1);
    CallerServerSettings settings =
        CallerServerSettings.of(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
            .withTimeouts(headerTimeout, headerTimeout);
    try (CallerServerFixture fixture = CallerServerFixture.start(settings);
        RawCaller reused = RawCaller.connect(fixture)) {
      reused.send("GET /health HTTP/1.1\r\nHost: test\r\n\r\n");
      assertThat(reused.readUntil("\r\n\r\n")).contains("200 OK");
      await(fixture, headerTimeout.multipliedBy(2));
      reused.send("GET /health HTTP/1.1\r\nHost: te");
      await(fixture, headerTimeout.dividedBy(2));
      reused.send("st\r\nConnection: close\r\n\r\n");
      assertThat(reused.readAll()).contains("200 OK");
    }
  }

  private static void await(CallerServerFixture fixture, Duration delay) throws Exception {
    CompletableFuture<Void> passed = new CompletableFuture<>();
    fixture.timer.after(delay, () -> passed.complete(null));
    passed.get(10, TimeUnit.SECONDS);
  }

  private void echo(FakeEndpoint.Call call) throws java.io.IOException {
    String body = call.body();
    String name = body.substring(body.indexOf("caller-"), body.indexOf('.') + 1);
    arrived.countDown();
    try {
      responseGates.get(Integer.parseInt(name.substring(7, name.length() - 1))).await();
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
    if (body.contains("\"stream\":true")) {
      call.beginStream();
      call.sendEvent(FakeEndpoint.token(1, true).replace("t1", name));
      call.sendTerminator();
    } else {
      call.respond(200, FakeEndpoint.completion(name));
    }
  }
}
