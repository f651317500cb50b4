package org.snipewick.request.http;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.http.HttpResponse;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.snipewick.endpoint.http.FakeEndpoint;
import org.snipewick.event.EventType;
import org.snipewick.failure.FailureType;
import org.snipewick.idempotency.KeyState;
import org.snipewick.pool.Decision;
import org.snipewick.pool.WorkEvent;

@Timeout(60)
class CancellationTest {
  private static final String CHAT = "/v1/chat/completions";
  private static final String TIMEOUT = "Snipewick-Timeout-Ms";

  private final CallerServerFixture fixture = CallerServerFixture.start();
  private final CountDownLatch released = new CountDownLatch(1);
  private final CountDownLatch closed = new CountDownLatch(1);
  private final FakeEndpoint endpoint = FakeEndpoint.start(this::hang);

  CancellationTest() {
    fixture.pool.setEndpoints(endpoint.status("engine-1"));
  }

  @AfterEach
  void stop() {
    released.countDown();
    closed.countDown();
    fixture.close();
    endpoint.close();
  }

  @Test
  void shouldCancelAndEndStreamWithErrorWhenDeadlinePassesMidStream() throws Exception {
    endpoint.setScript(this::streamUntilClosed);

    HttpResponse<String> response =
        fixture.post(CHAT, CallerServerFixture.chat(true), TIMEOUT, "400");

    assertThat(response.body())
        .contains("t1", "event: error", "problem:1104", "\"outcome\":\"unknown\"")
        .doesNotContain("[DONE]");
    assertThat(closed.await(10, TimeUnit.SECONDS)).isTrue();
    assertThat(endpoint.awaitRequestLine()).startsWith("POST");
    assertThat(endpoint.awaitRequestLine()).startsWith("DELETE /v1/requests/entry-1.1.1");
    assertThat(fixture.pool.awaitResult()).isEqualTo(WorkEvent.Result.CANCELLED);
  }

  @Test
  void shouldReportUnknownOutcomeWhenDeadlinePassesAfterDispatch() throws Exception {
    HttpResponse<String> response =
        fixture.post(
            CHAT, CallerServerFixture.chat(false), TIMEOUT, "200", "Idempotency-Key", "late");

    assertThat(response.statusCode()).isEqualTo(504);
    assertThat(response.body()).contains("\"outcome\":\"unknown\"", "\"attempt\":\"unknown\"");
    assertThat(fixture.ledger.awaitRecordedEnd()).isEqualTo("unknown");
  }

  @Test
  void shouldNeverDispatchWhenDeadlinePassesInQueue() throws Exception {
    fixture.pool.holdsRequests = true;

    HttpResponse<String> response =
        fixture.post(
            CHAT, CallerServerFixture.chat(false), TIMEOUT, "200", "Idempotency-Key", "queued");
    fixture.pool.grantHeld();

    assertThat(response.statusCode()).isEqualTo(504);
    assertThat(response.body()).contains("\"outcome\":\"not-run\"", "\"attempt\":\"not-run\"");
    assertThat(fixture.pool.withdrawals).hasValue(1);
    assertThat(fixture.ledger.awaitRecordedEnd()).isEqualTo("released");
    assertThat(endpoint.dispatches()).isZero();
  }

  @Test
  void shouldRespondAtOnceAndReleaseKeyLaterWhenDeadlinePassesDuringClaim() throws Exception {
    fixture.ledger.claimGate = new CompletableFuture<>();

    HttpResponse<String> response =
        fixture.post(
            CHAT, CallerServerFixture.chat(false), TIMEOUT, "200", "Idempotency-Key", "claim");
    fixture.ledger.claimGate.complete(null);

    assertThat(response.statusCode()).isEqualTo(504);
    assertThat(response.body()).contains("\"outcome\":\"unknown\"", "\"attempt\":\"not-run\"");
    assertThat(fixture.ledger.awaitRecordedEnd()).isEqualTo("released");
    assertThat(endpoint.dispatches()).isZero();
  }

  @Test
  void shouldDiscardLateResponseWhenItsCallWasCancelled() throws Exception {
    CompletableFuture<HttpResponse<String>> late =
        fixture.postAsync(CHAT, CallerServerFixture.chat("late", false), TIMEOUT, "300");
    assertThat(endpoint.awaitRequestLine()).startsWith("POST");
    assertThat(late.join().statusCode()).isEqualTo(504);
    endpoint.setScript(call -> call.respond(200, FakeEndpoint.completion("own")));
    released.countDown();

    HttpResponse<String> next = fixture.post(CHAT, CallerServerFixture.chat("next", false));

    assertThat(next.body()).isEqualTo(FakeEndpoint.completion("own"));
    assertThat(fixture.pool.awaitResult()).isEqualTo(WorkEvent.Result.CANCELLED);
    assertThat(fixture.pool.awaitResult()).isEqualTo(WorkEvent.Result.COMPLETE);
    assertThat(fixture.pool.results).isEmpty();
  }

  @Test
  void shouldCancelAtEngineWhenSchedulerCancels() throws Exception {
    CompletableFuture<HttpResponse<String>> response =
        fixture.postAsync(CHAT, CallerServerFixture.chat(false));
    assertThat(endpoint.awaitRequestLine()).startsWith("POST");

    fixture.pool.cancel.accept(
        new Decision.Cancel(fixture.pool.offered.get(0).id(), FailureType.SHED));

    assertThat(response.join().statusCode()).isEqualTo(503);
    assertThat(response.join().body()).contains("problem:1102", "\"outcome\":\"unknown\"");
    assertThat(endpoint.awaitRequestLine()).startsWith("DELETE");
    assertThat(fixture.pool.awaitResult()).isEqualTo(WorkEvent.Result.CANCELLED);
  }

  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void shouldCancelAtEngineWhenCallerDisconnects(boolean streamed) throws Exception {
    endpoint.setScript(streamed ? this::streamUntilClosed : this::hang);
    try (RawCaller caller = RawCaller.connect(fixture)) {
      caller.post(CHAT, CallerServerFixture.chat(streamed), "left");
      assertThat(endpoint.awaitRequestLine()).startsWith("POST");
      if (streamed) {
        caller.readUntil("t1");
      }
    }

    assertThat(endpoint.awaitRequestLine()).startsWith("DELETE");
    assertThat(fixture.pool.awaitResult()).isEqualTo(WorkEvent.Result.CANCELLED);
    assertThat(fixture.ledger.awaitRecordedEnd()).isEqualTo("unknown");
    assertThat(fixture.events).contains(EventType.CALLER_LEFT);
  }

  @Test
  void shouldNeverDispatchWhenCallerDisconnectsInQueue() throws Exception {
    fixture.pool.holdsRequests = true;
    try (RawCaller caller = RawCaller.connect(fixture)) {
      caller.post(CHAT, CallerServerFixture.chat(false), "left-queue");
      fixture.pool.awaitHeld();
    }
    assertThat(fixture.ledger.awaitRecordedEnd()).isEqualTo("released");

    fixture.pool.grantHeld();

    assertThat(fixture.pool.withdrawals).hasValue(1);
    assertThat(endpoint.dispatches()).isZero();
  }

  @Test
  void shouldFinishAndStoreResponseWhenCallerDisconnectsDuringAction() throws Exception {
    endpoint.setScript(
        call -> {
          hang(call);
          call.respond(201, "booked");
        });
    try (RawCaller caller = RawCaller.connect(fixture)) {
      caller.post("/services/ordersvc/orders", "{}", "booking");
      assertThat(endpoint.awaitRequestLine()).startsWith("POST");
    }
    fixture.awaitEvent(EventType.CALLER_LEFT);
    released.countDown();

    assertThat(fixture.ledger.awaitRecordedEnd()).isEqualTo("complete");
    assertThat(fixture.ledger.states.get("fleet/booking")).isInstanceOf(KeyState.Ran.class);
    assertThat(fixture.events).doesNotContain(EventType.REQUEST_DELIVERED);
  }

  private void hang(FakeEndpoint.Call call) {
    try {
      released.await();
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
  }

  private void streamUntilClosed(FakeEndpoint.Call call) throws java.io.IOException {
    call.beginStream();
    call.sendEventsUntilClosed(closed);
  }
}
