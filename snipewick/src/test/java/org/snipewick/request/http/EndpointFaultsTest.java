package org.snipewick.request.http;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.ServerSocket;
import java.net.Socket;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.snipewick.endpoint.http.FakeEndpoint;
import org.snipewick.event.EventType;
import org.snipewick.pool.WorkEvent;

class EndpointFaultsTest {
  private static final String CHAT = "/v1/chat/completions";

  private final Front front = Front.start();
  private final FakeEndpoint first = FakeEndpoint.start(EndpointFaultsTest::fine);
  private final FakeEndpoint second = FakeEndpoint.start(EndpointFaultsTest::fine);

  EndpointFaultsTest() {
    front.pool.setEndpoints(first.status("engine-1"), second.status("engine-2"));
  }

  @AfterEach
  void stop() {
    front.close();
    first.close();
    second.close();
  }

  static Stream<Arguments> afterWriting() {
    return Stream.of(
        fault("closed before the answer", false, call -> {}),
        fault("truncated body", false, call -> call.truncated(200, "{\"choices\":[", 50)),
        fault("body that is no JSON", false, call -> call.whole(200, "{\"choices\":[")),
        fault("no choices", false, call -> call.whole(200, "{\"choices\":[]}")),
        fault(
            "choice without finish reason",
            false,
            call -> call.whole(200, "{\"choices\":[" + "{\"finish_reason\":null}]}")),
        fault(
            "answer to another dispatch",
            false,
            call -> {
              call.setHeader("X-Request-Id", "other.1.1");
              call.whole(200, FakeEndpoint.completion("not yours"));
            }),
        fault("stream closed before its first event", true, EndpointFaultsTest::notResumable),
        fault(
            "whole answer that is not complete to a streamed request",
            true,
            call -> call.whole(200, "{}")));
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("afterWriting")
  void shouldSayUnknownAndNeverDispatchAgainWhenAnswerIsBroken(
      String name, boolean streamed, FakeEndpoint.Script script) throws InterruptedException {
    first.setScript(script);

    HttpResponse<String> response = front.post(CHAT, Front.chat(streamed));

    assertThat(response.statusCode()).isEqualTo(502);
    assertThat(response.body())
        .contains("problem:1202", "\"outcome\":\"unknown\"", "\"attempt\":\"unknown\"");
    assertThat(first.dispatches()).isEqualTo(1);
    assertThat(second.dispatches()).isZero();
    assertThat(front.pool.awaitResult()).isEqualTo(WorkEvent.Result.BROKEN);
  }

  static Stream<Arguments> ofServices() {
    return Stream.of(
        fault("closed before the answer", false, call -> {}),
        fault("truncated body", false, call -> call.truncated(201, "{", 50)),
        fault("answer above the limit", false, call -> call.whole(201, "x".repeat(100_001))));
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("ofServices")
  void shouldSayUnknownAndNeverRepeatActionWhenServiceBreaksOff(
      String name, boolean streamed, FakeEndpoint.Script script) throws InterruptedException {
    first.setScript(script);

    HttpResponse<String> response =
        front.post("/services/ordersvc/orders", "{}", "Idempotency-Key", "booking");

    assertThat(response.statusCode()).isEqualTo(502);
    assertThat(response.body()).contains("problem:1202", "\"outcome\":\"unknown\"");
    assertThat(front.ledger.awaitNote()).isEqualTo("unknown");
    assertThat(front.post("/services/ordersvc/orders", "{}", "Idempotency-Key", "booking").body())
        .contains("problem:1201", "\"attempt\":\"not-run\"");
    assertThat(first.dispatches()).isEqualTo(1);
    assertThat(second.dispatches()).isZero();
  }

  @Test
  void shouldNotCallAnswerWholeWhenItHasNeitherLengthNorTerminator() throws Exception {
    try (ServerSocket socket = new ServerSocket(0)) {
      Thread engine = new Thread(() -> answerWithoutLength(socket));
      engine.setDaemon(true);
      engine.start();
      front.pool.setEndpoints(FakeEndpoint.status("raw", socket.getLocalPort()));

      HttpResponse<String> response =
          front.post(CHAT, Front.chat(false), "Snipewick-Timeout-Ms", "5000");

      assertThat(response.statusCode()).isEqualTo(502);
      assertThat(response.body()).contains("problem:1202", "\"outcome\":\"unknown\"");
    }
  }

  private static void answerWithoutLength(ServerSocket socket) {
    String head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n";
    try (Socket connection = socket.accept()) {
      byte[] unused = connection.getInputStream().readNBytes(50);
      String text = head + FakeEndpoint.completion("cut here?");
      connection.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
    } catch (java.io.IOException gone) {
      throw new java.io.UncheckedIOException(gone);
    }
  }

  static Stream<Arguments> endsOfStreams() {
    return Stream.of(
        fault("broken and not known any more", true, EndpointFaultsTest::brokenAndUnknown),
        fault("broken again and again", true, EndpointFaultsTest::brokenEachTime),
        fault(
            "terminated before it is finished",
            true,
            call -> {
              call.beginStream();
              call.tokens(1, 3, 9);
              call.done();
            }));
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("endsOfStreams")
  void shouldEndStreamWithErrorWhenItCannotBeCompleted(
      String name, boolean streamed, FakeEndpoint.Script script) throws InterruptedException {
    first.setScript(script);

    HttpResponse<String> response = front.post(CHAT, Front.chat(streamed));

    assertThat(response.body())
        .contains("t1", "event: error", "problem:1202", "\"outcome\":\"unknown\"")
        .doesNotContain("[DONE]");
    assertThat(first.dispatches()).isEqualTo(1);
    assertThat(second.dispatches()).isZero();
    assertThat(front.pool.awaitResult()).isEqualTo(WorkEvent.Result.BROKEN);
  }

  @Test
  void shouldDeliverEachEventOnceWhenBrokenStreamIsResumed() {
    first.setScript(
        call -> {
          call.beginStream();
          if (!call.line().startsWith("GET")) {
            call.tokens(1, 3, 9);
          } else if (call.line().endsWith("/stream?after=3")) {
            call.tokens(4, 5, 9);
          } else if (call.line().endsWith("/stream?after=5")) {
            call.tokens(6, 9, 9);
            call.done();
          }
        });

    HttpResponse<String> response = front.post(CHAT, Front.chat(true));

    StringBuilder expected = new StringBuilder();
    for (int number = 1; number <= 9; number++) {
      expected.append("data: ").append(FakeEndpoint.token(number, number == 9)).append("\n\n");
    }
    assertThat(response.body()).isEqualTo(expected + "data: [DONE]\n\n");
    assertThat(first.dispatches()).isEqualTo(1);
    assertThat(front.events).contains(EventType.STREAM_RESUMED);
  }

  static Stream<Arguments> beforeRunning() {
    return Stream.of(
        fault("refused, whole", false, EndpointFaultsTest::refuse),
        fault("refused, streamed", true, EndpointFaultsTest::refuse));
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("beforeRunning")
  void shouldTryAnotherEndpointWhenRefusedBeforeRunning(
      String name, boolean streamed, FakeEndpoint.Script script) throws InterruptedException {
    first.setScript(script);
    second.setScript(streamed ? EndpointFaultsTest::fineStream : EndpointFaultsTest::fine);

    HttpResponse<String> response = front.post(CHAT, Front.chat(streamed));

    assertThat(response.statusCode()).isEqualTo(200);
    assertThat(second.dispatches()).isEqualTo(1);
    assertThat(front.pool.awaitResult()).isEqualTo(WorkEvent.Result.NOT_DISPATCHED);
    assertThat(front.pool.awaitResult()).isEqualTo(WorkEvent.Result.COMPLETE);
  }

  @Test
  void shouldTryAnotherEndpointWhenConnectionIsRefused() throws Exception {
    int closed;
    try (ServerSocket socket = new ServerSocket(0)) {
      closed = socket.getLocalPort();
    }
    front.pool.setEndpoints(FakeEndpoint.status("gone", closed), second.status("engine-2"));

    assertThat(front.post(CHAT, Front.chat(false)).statusCode()).isEqualTo(200);
    assertThat(front.pool.awaitResult()).isEqualTo(WorkEvent.Result.NOT_DISPATCHED);
  }

  @Test
  void shouldSayNotRunWhenAllEndpointsRefuse() throws InterruptedException {
    first.setScript(EndpointFaultsTest::refuse);
    second.setScript(EndpointFaultsTest::refuse);

    HttpResponse<String> response =
        front.post(CHAT, Front.chat(false), "Idempotency-Key", "all-refuse");

    assertThat(response.statusCode()).isEqualTo(503);
    assertThat(response.body())
        .contains("problem:1203", "\"outcome\":\"not-run\"", "\"attempt\":\"not-run\"");
    assertThat(front.pool.offered).hasSize(3);
    assertThat(front.ledger.awaitNote()).isEqualTo("released");
  }

  @Test
  void shouldNotDispatchWhenPermissionHasLapsed() {
    front.pool.lapsed = true;

    HttpResponse<String> response = front.post(CHAT, Front.chat(false));

    assertThat(response.body()).contains("\"outcome\":\"not-run\"");
    assertThat(first.dispatches() + second.dispatches()).isZero();
  }

  @Test
  void shouldPassErrorsOfTheEndpointOnWhenTheyAreWhole() {
    first.setScript(call -> call.whole(400, "{\"error\":\"bad\"}"));

    HttpResponse<String> response = front.post(CHAT, Front.chat(true));

    assertThat(response.statusCode()).isEqualTo(400);
    assertThat(response.body()).isEqualTo("{\"error\":\"bad\"}");
  }

  private static Arguments fault(String name, boolean streamed, FakeEndpoint.Script script) {
    return Arguments.of(name, streamed, script);
  }

  private static void fine(FakeEndpoint.Call call) throws java.io.IOException {
    call.whole(200, FakeEndpoint.completion("fine"));
  }

  private static void fineStream(FakeEndpoint.Call call) throws java.io.IOException {
    call.beginStream();
    call.tokens(1, 2, 2);
    call.done();
  }

  private static void refuse(FakeEndpoint.Call call) throws java.io.IOException {
    call.setHeader("X-Not-Run", "true");
    call.whole(503, "{}");
  }

  private static void notResumable(FakeEndpoint.Call call) throws java.io.IOException {
    if (call.line().startsWith("GET")) {
      call.whole(404, "{}");
    } else {
      call.beginStream();
    }
  }

  private static void brokenAndUnknown(FakeEndpoint.Call call) throws java.io.IOException {
    notResumable(call);
    if (!call.line().startsWith("GET")) {
      call.tokens(1, 3, 9);
    }
  }

  private static void brokenEachTime(FakeEndpoint.Call call) throws java.io.IOException {
    call.beginStream();
    call.tokens(1, 1, 9);
  }
}
