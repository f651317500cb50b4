package org.snipewick.request.http;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.snipewick.endpoint.http.FakeEndpoint;
import org.snipewick.event.EventType;

@Timeout(60)
class PlannedStopTest {
  private static final String CHAT = "/v1/chat/completions";
  private static final int CALLS = 20;

  private final CallerServerFixture fixture = CallerServerFixture.start();
  private final CountDownLatch begun = new CountDownLatch(CALLS);
  private final CountDownLatch released = new CountDownLatch(1);
  private final FakeEndpoint endpoint = FakeEndpoint.start(this::respondAfterRelease);

  PlannedStopTest() {
    fixture.pool.setEndpoints(endpoint.status("engine-1"));
  }

  @AfterEach
  void stop() {
    released.countDown();
    fixture.close();
    endpoint.close();
  }

  @Test
  void shouldFinishCallsInFlightWhenStopped() throws Exception {
    List<CompletableFuture<HttpResponse<String>>> calls = new ArrayList<>();
    for (int number = 0; number < CALLS; number++) {
      calls.add(fixture.postAsync(CHAT, CallerServerFixture.chat(number % 2 == 0)));
    }
    assertThat(begun.await(20, TimeUnit.SECONDS)).isTrue();

    CompletableFuture<Void> stopped = fixture.server.stop(Duration.ZERO);
    fixture.timer.after(Duration.ofMillis(300), released::countDown);

    for (CompletableFuture<HttpResponse<String>> call : calls) {
      assertThat(call.join().statusCode()).isEqualTo(200);
      assertThat(call.join().body()).containsAnyOf("data: [DONE]\n\n", "fine");
    }
    stopped.get(20, TimeUnit.SECONDS);
    assertThatThrownBy(() -> fixture.get("/health")).hasMessageContaining("ConnectException");
  }

  @Test
  void shouldWriteWholeResponseWhenCallerReadsSlowlyDuringStop() throws Exception {
    String text = "x".repeat(7_500_000);
    endpoint.setScript(call -> call.respond(200, FakeEndpoint.completion(text)));
    try (RawCaller caller = RawCaller.connect(fixture)) {
      caller.post(CHAT, CallerServerFixture.chat(false), "slow-reader");
      fixture.awaitEvent(EventType.REQUEST_DELIVERED);

      final CompletableFuture<Void> stopped = fixture.server.stop(Duration.ZERO);
      fixture.inFlight.drained().get(10, TimeUnit.SECONDS);
      CompletableFuture<Void> delayed = new CompletableFuture<>();
      fixture.timer.after(Duration.ofMillis(300), () -> delayed.complete(null));
      delayed.join();

      assertThat(stopped).isNotDone();
      assertThat(caller.readAll()).endsWith(FakeEndpoint.completion(text));
      stopped.get(20, TimeUnit.SECONDS);
    }
  }

  @Test
  void shouldHaveClosedIdleConnectionsWhenStopCompletes() throws Exception {
    endpoint.setScript(call -> call.respond(200, FakeEndpoint.completion("fine")));
    InetSocketAddress bind = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    CallerServerSettings oneWorker =
        CallerServerSettings.of(bind).withWorkersAndMaxBodyBytes(1, 8 * 1024 * 1024);
    try (CallerServerFixture single = CallerServerFixture.start(oneWorker);
        RawCaller caller = RawCaller.connect(single)) {
      single.pool.setEndpoints(endpoint.status("engine-1"));
      caller.post(CHAT, CallerServerFixture.chat(false), "idle-connection");
      caller.readUntil(FakeEndpoint.completion("fine"));

      CompletableFuture<Boolean> closed =
          single.server.stop(Duration.ZERO).thenApply(stopped -> caller.isAtEnd());

      assertThat(closed.get(20, TimeUnit.SECONDS)).isTrue();
    }
  }

  @Test
  void shouldServeDuringBalancerDelayAndRefuseAfterwardsWhenStopped() throws Exception {
    final CompletableFuture<HttpResponse<String>> openCall =
        fixture.postAsync(CHAT, CallerServerFixture.chat(true));
    endpoint.awaitRequestLine();
    final CompletableFuture<Void> stopped = fixture.server.stop(Duration.ofMillis(1500));

    assertThat(fixture.get("/health").statusCode()).isEqualTo(503);
    endpoint.setScript(call -> call.respond(200, FakeEndpoint.completion("late caller")));
    assertThat(fixture.post(CHAT, CallerServerFixture.chat(false)).statusCode()).isEqualTo(200);

    CompletableFuture<Void> afterDelay = new CompletableFuture<>();
    fixture.timer.after(Duration.ofMillis(1600), () -> afterDelay.complete(null));
    afterDelay.join();
    HttpResponse<String> refused = fixture.post(CHAT, CallerServerFixture.chat(false));
    assertThat(refused.statusCode()).isEqualTo(503);
    assertThat(refused.body()).contains("problem:1106", "\"attempt\":\"not-run\"");
    assertThat(refused.headers().firstValue("Retry-After")).hasValue("1");
    HttpResponse<String> keyed =
        fixture.post(CHAT, CallerServerFixture.chat(false), "Idempotency-Key", "k");
    assertThat(keyed.body())
        .contains("problem:1106", "\"outcome\":\"unknown\"", "\"attempt\":\"not-run\"");
    assertThat(keyed.headers().firstValue("Retry-After")).hasValue("1");
    assertThat(stopped).isNotDone();

    released.countDown();
    assertThat(openCall.join().body()).endsWith("data: [DONE]\n\n");
    stopped.get(20, TimeUnit.SECONDS);
  }

  private void respondAfterRelease(FakeEndpoint.Call call) throws java.io.IOException {
    boolean streamed = call.body().contains("\"stream\":true");
    if (streamed) {
      call.beginStream();
      call.sendTokens(1, 1, 2);
    }
    begun.countDown();
    try {
      released.await();
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
    if (streamed) {
      call.sendTokens(2, 2, 2);
      call.sendTerminator();
    } else {
      call.respond(200, FakeEndpoint.completion("fine"));
    }
  }
}
