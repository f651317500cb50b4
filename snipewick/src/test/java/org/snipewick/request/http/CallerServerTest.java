package org.snipewick.request.http;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.http.HttpResponse;
import java.time.Duration;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.snipewick.endpoint.http.FakeEndpoint;
import org.snipewick.event.EventType;
import org.snipewick.failure.Failure;
import org.snipewick.failure.FailureType;
import org.snipewick.pool.WorkEvent;

class CallerServerTest {
  private static final String CHAT = "/v1/chat/completions";

  private final CallerServerFixture fixture = CallerServerFixture.start();
  private final FakeEndpoint engine =
      FakeEndpoint.start(call -> call.respond(200, FakeEndpoint.completion("fine")));

  @AfterEach
  void stop() {
    fixture.close();
    engine.close();
  }

  @Test
  void shouldReturnWholeResponseWhenNotStreamed() throws InterruptedException {
    fixture.pool.setEndpoints(engine.status("engine-1"));

    HttpResponse<String> response = fixture.post(CHAT, CallerServerFixture.chat(false));

    assertThat(response.statusCode()).isEqualTo(200);
    assertThat(response.body()).isEqualTo(FakeEndpoint.completion("fine"));
    assertThat(response.headers().firstValue("Snipewick-Request")).isPresent();
    assertThat(fixture.pool.awaitResult()).isEqualTo(WorkEvent.Result.COMPLETE);
  }

  @Test
  void shouldStreamUntilTerminatorWhenStreamed() throws InterruptedException {
    fixture.pool.setEndpoints(engine.status("engine-1"));
    engine.setScript(
        call -> {
          call.beginStream();
          call.sendTokens(1, 5, 5);
          call.sendTerminator();
        });

    HttpResponse<String> response = fixture.post(CHAT, CallerServerFixture.chat(true));

    assertThat(response.statusCode()).isEqualTo(200);
    assertThat(response.body()).contains("t1", "t5").endsWith("data: [DONE]\n\n");
    assertThat(fixture.pool.awaitResult()).isEqualTo(WorkEvent.Result.COMPLETE);
  }

  @Test
  void shouldCountByTierAndRecordEventsInOrderWhenCallsEnd() throws InterruptedException {
    fixture.pool.setEndpoints(engine.status("engine-1"));
    fixture.post(CHAT, CallerServerFixture.chat(false), "Snipewick-Class", "4");
    fixture.pool.refusal =
        Failure.notRun(FailureType.SHED, "no room").withRetryAfter(Duration.ofMillis(1200));

    HttpResponse<String> shed = fixture.post(CHAT, CallerServerFixture.chat(false));

    assertThat(shed.headers().firstValue("Retry-After")).hasValue("2");
    fixture.awaitEvent(EventType.REQUEST_FAILED);
    assertThat(fixture.events)
        .containsExactly(
            EventType.REQUEST_RECEIVED,
            EventType.REQUEST_OFFERED,
            EventType.REQUEST_GRANTED,
            EventType.REQUEST_DISPATCHED,
            EventType.FIRST_TOKEN,
            EventType.ANSWER_COMPLETE,
            EventType.REQUEST_DELIVERED,
            EventType.REQUEST_RECEIVED,
            EventType.REQUEST_OFFERED,
            EventType.REQUEST_FAILED);
    assertThat(fixture.metrics.counter("requests.tier4.answered_in_time").getCount()).isEqualTo(1);
    assertThat(fixture.metrics.counter("requests.tier3.failed.shed").getCount()).isEqualTo(1);
    assertThat(fixture.inFlight.count()).isZero();
  }

  @Test
  void shouldForwardCallWhenServiceIsKnown() {
    fixture.pool.setEndpoints(engine.status("service-1"));
    engine.setScript(call -> call.respond(201, call.requestLine() + call.body()));

    HttpResponse<String> response =
        fixture.post("/services/ordersvc/orders?rush=1", "{}", "Idempotency-Key", "k1");

    assertThat(response.statusCode()).isEqualTo(201);
    assertThat(response.body()).isEqualTo("POST /orders?rush=1{}");
    assertThat(engine.calls().get(0).header("Idempotency-Key")).isEqualTo("k1");
  }

  @ParameterizedTest
  @ValueSource(strings = {"/a%20b?q=%C3%A4&x=1|2", "//double//slash", "/?", "?only=query", ""})
  void shouldForwardOrRefuseWhenPathIsUnusual(String path) throws InterruptedException {
    fixture.pool.setEndpoints(engine.status("engine-1"));
    try (RawCaller caller = RawCaller.connect(fixture)) {
      caller.send(
          "GET /services/ordersvc"
              + path
              + " HTTP/1.1\r\nHost: t\r\nAuthorization: Bearer "
              + CallerServerFixture.TOKEN
              + "\r\n\r\n");
      assertThat(caller.readUntil("\r\n")).containsAnyOf("200", "400");
    } catch (java.io.IOException failed) {
      throw new AssertionError(failed);
    }
    assertThat(fixture.post(CHAT, CallerServerFixture.chat(false)).statusCode()).isEqualTo(200);
  }
}
