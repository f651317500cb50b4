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
class GivingUpTest {
  private static final String CHAT = "/v1/chat/completions";
  private static final String TIMEOUT = "Snipewick-Timeout-Ms";

  private final Front front = Front.start();
  private final CountDownLatch released = new CountDownLatch(1);
  private final CountDownLatch closed = new CountDownLatch(1);
  private final FakeEndpoint endpoint = FakeEndpoint.start(this::hang);

  GivingUpTest() {
    front.pool.setEndpoints(endpoint.status("engine-1"));
  }

  @AfterEach
  void stop() {
    released.countDown();
    closed.countDown();
    front.close();
    endpoint.close();
  }

  @Test
  void shouldCancelAndEndStreamWithErrorWhenDeadlinePassesMidStream() throws Exception {
    endpoint.setScript(this::endless);

    HttpResponse<String> response = front.post(CHAT, Front.chat(true), TIMEOUT, "400");

    assertThat(response.body())
        .contains("t1", "event: error", "problem:1104", "\"outcome\":\"unknown\"")
        .doesNotContain("[DONE]");
    assertThat(closed.await(10, TimeUnit.SECONDS)).isTrue();
    assertThat(endpoint.awaitLine()).startsWith("POST");
    assertThat(endpoint.awaitLine()).startsWith("DELETE /v1/requests/entry-1.1.1");
    assertThat(front.pool.awaitResult()).isEqualTo(WorkEvent.Result.CANCELLED);
  }

  @Test
  void shouldSayUnknownWhenDeadlinePassesAfterDispatch() throws Exception {
    HttpResponse<String> response =
        front.post(CHAT, Front.chat(false), TIMEOUT, "200", "Idempotency-Key", "late");

    assertThat(response.statusCode()).isEqualTo(504);
    assertThat(response.body()).contains("\"outcome\":\"unknown\"", "\"attempt\":\"unknown\"");
    assertThat(front.ledger.awaitNote()).isEqualTo("unknown");
  }

  @Test
  void shouldNeverDispatchWhenDeadlinePassedInTheQueue() throws Exception {
    front.pool.holding = true;

    HttpResponse<String> response =
        front.post(CHAT, Front.chat(false), TIMEOUT, "200", "Idempotency-Key", "queued");
    front.pool.grantHeld();

    assertThat(response.statusCode()).isEqualTo(504);
    assertThat(response.body()).contains("\"outcome\":\"not-run\"", "\"attempt\":\"not-run\"");
    assertThat(front.pool.withdrawals).hasValue(1);
    assertThat(front.ledger.awaitNote()).isEqualTo("released");
    assertThat(endpoint.dispatches()).isZero();
  }

  @Test
  void shouldAnswerAtOnceAndReleaseLaterWhenDeadlinePassesDuringTheClaim() throws Exception {
    front.ledger.gate = new CompletableFuture<>();

    HttpResponse<String> response =
        front.post(CHAT, Front.chat(false), TIMEOUT, "200", "Idempotency-Key", "claim");
    front.ledger.gate.complete(null);

    assertThat(response.statusCode()).isEqualTo(504);
    assertThat(response.body()).contains("\"outcome\":\"unknown\"", "\"attempt\":\"not-run\"");
    assertThat(front.ledger.awaitNote()).isEqualTo("released");
    assertThat(endpoint.dispatches()).isZero();
  }

  @Test
  void shouldGiveLateAnswerToNobodyWhenItsCallWasCancelled() throws Exception {
    CompletableFuture<HttpResponse<String>> late =
        front.postAsync(CHAT, Front.chat("late", false), TIMEOUT, "300");
    assertThat(endpoint.awaitLine()).startsWith("POST");
    assertThat(late.join().statusCode()).isEqualTo(504);
    endpoint.setScript(call -> call.whole(200, FakeEndpoint.completion("own")));
    released.countDown();

    HttpResponse<String> next = front.post(CHAT, Front.chat("next", false));

    assertThat(next.body()).isEqualTo(FakeEndpoint.completion("own"));
    assertThat(front.pool.awaitResult()).isEqualTo(WorkEvent.Result.CANCELLED);
    assertThat(front.pool.awaitResult()).isEqualTo(WorkEvent.Result.COMPLETE);
    assertThat(front.pool.results).isEmpty();
  }

  @Test
  void shouldCancelAtEngineWhenSchedulerCancels() throws Exception {
    CompletableFuture<HttpResponse<String>> response = front.postAsync(CHAT, Front.chat(false));
    assertThat(endpoint.awaitLine()).startsWith("POST");

    front.pool.cancel.accept(new Decision.Cancel(front.pool.offered.get(0).id(), FailureType.SHED));

    assertThat(response.join().statusCode()).isEqualTo(503);
    assertThat(response.join().body()).contains("problem:1102", "\"outcome\":\"unknown\"");
    assertThat(endpoint.awaitLine()).startsWith("DELETE");
    assertThat(front.pool.awaitResult()).isEqualTo(WorkEvent.Result.CANCELLED);
  }

  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void shouldCancelAtEngineWhenCallerLeaves(boolean streamed) throws Exception {
    endpoint.setScript(streamed ? this::endless : this::hang);
    try (RawCaller caller = RawCaller.connect(front)) {
      caller.post(CHAT, Front.chat(streamed), "left");
      assertThat(endpoint.awaitLine()).startsWith("POST");
      if (streamed) {
        caller.readUntil("t1");
      }
    }

    assertThat(endpoint.awaitLine()).startsWith("DELETE");
    assertThat(front.pool.awaitResult()).isEqualTo(WorkEvent.Result.CANCELLED);
    assertThat(front.ledger.awaitNote()).isEqualTo("unknown");
    assertThat(front.events).contains(EventType.CALLER_LEFT);
  }

  @Test
  void shouldNeverDispatchWhenCallerLeftTheQueue() throws Exception {
    front.pool.holding = true;
    try (RawCaller caller = RawCaller.connect(front)) {
      caller.post(CHAT, Front.chat(false), "left-queue");
      front.pool.awaitHeld();
    }
    assertThat(front.ledger.awaitNote()).isEqualTo("released");

    front.pool.grantHeld();

    assertThat(front.pool.withdrawals).hasValue(1);
    assertThat(endpoint.dispatches()).isZero();
  }

  @Test
  void shouldFinishAndKeepAnswerWhenCallerLeavesDuringAnAction() throws Exception {
    endpoint.setScript(
        call -> {
          hang(call);
          call.whole(201, "booked");
        });
    try (RawCaller caller = RawCaller.connect(front)) {
      caller.post("/services/ordersvc/orders", "{}", "booking");
      assertThat(endpoint.awaitLine()).startsWith("POST");
    }
    front.awaitEvent(EventType.CALLER_LEFT);
    released.countDown();

    assertThat(front.ledger.awaitNote()).isEqualTo("complete");
    assertThat(front.ledger.states.get("fleet/booking")).isInstanceOf(KeyState.Ran.class);
    assertThat(front.events).doesNotContain(EventType.REQUEST_DELIVERED);
  }

  private void hang(FakeEndpoint.Call call) {
    try {
      released.await();
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
  }

  private void endless(FakeEndpoint.Call call) throws java.io.IOException {
    call.beginStream();
    call.untilClosed(closed);
  }
}
