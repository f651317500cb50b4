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
import org.junit.jupiter.params.provider.ValueSource;
import org.snipewick.endpoint.http.FakeEndpoint;
import org.snipewick.event.EventType;
import org.snipewick.pool.WorkEvent;

class EndpointFaultsTest {
  private static final String CHAT = "/v1/chat/completions";

  private final CallerServerFixture fixture = CallerServerFixture.start();
  private final FakeEndpoint first = FakeEndpoint.start(EndpointFaultsTest::respondFully);
  private final FakeEndpoint second = FakeEndpoint.start(EndpointFaultsTest::respondFully);

  EndpointFaultsTest() {
    fixture.pool.setEndpoints(first.status("engine-1"), second.status("engine-2"));
  }

  @AfterEach
  void stop() {
    fixture.close();
    first.close();
    second.close();
  }

  static Stream<Arguments> faultsAfterWriting() {
    return Stream.of(
        fault("closed before the response", false, call -> {}),
        fault("truncated body", false, call -> call.respondTruncated(200, "{\"choices\":[", 50)),
        fault("body that is not JSON", false, call -> call.respond(200, "{\"choices\":[")),
        fault("no choices", false, call -> call.respond(200, "{\"choices\":[]}")),
        fault(
            "choice without finish reason",
            false,
            call -> call.respond(200, "{\"choices\":[" + "{\"finish_reason\":null}]}")),
        fault(
            "response to another dispatch",
            false,
            call -> {
              call.setHeader("X-Request-Id", "other.1.1");
              call.respond(200, FakeEndpoint.completion("not yours"));
            }),
        fault(
            "stream closed before its first event",
            true,
            EndpointFaultsTest::beginAndRejectResumption),
        fault(
            "incomplete whole response to a streamed request",
            true,
            call -> call.respond(200, "{}")));
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("faultsAfterWriting")
  void shouldReportUnknownOutcomeAndNotRetryWhenResponseIsBroken(
      String name, boolean streamed, FakeEndpoint.Script script) throws InterruptedException {
    first.setScript(script);

    HttpResponse<String> response = fixture.post(CHAT, CallerServerFixture.chat(streamed));

    assertThat(response.statusCode()).isEqualTo(502);
    assertThat(response.body())
        .contains("problem:1202", "\"outcome\":\"unknown\"", "\"attempt\":\"unknown\"");
    assertThat(first.dispatches()).isEqualTo(1);
    assertThat(second.dispatches()).isZero();
    assertThat(fixture.pool.awaitResult()).isEqualTo(WorkEvent.Result.BROKEN);
  }

  static Stream<Arguments> serviceFaults() {
    return Stream.of(
        fault("closed before the response", false, call -> {}),
        fault("truncated body", false, call -> call.respondTruncated(201, "{", 50)),
        fault(
            "response above the size limit",
            false,
            call -> call.respond(201, "x".repeat(100_001))));
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("serviceFaults")
  void shouldReportUnknownOutcomeAndNotRetryActionWhenServiceResponseIsBroken(
      String name, boolean streamed, FakeEndpoint.Script script) throws InterruptedException {
    first.setScript(script);

    HttpResponse<String> response =
        fixture.post("/services/ordersvc/orders", "{}", "Idempotency-Key", "booking");

    assertThat(response.statusCode()).isEqualTo(502);
    assertThat(response.body()).contains("problem:1202", "\"outcome\":\"unknown\"");
    assertThat(fixture.ledger.awaitRecordedEnd()).isEqualTo("unknown");
    assertThat(fixture.post("/services/ordersvc/orders", "{}", "Idempotency-Key", "booking").body())
        .contains("problem:1201", "\"attempt\":\"not-run\"");
    assertThat(first.dispatches()).isEqualTo(1);
    assertThat(second.dispatches()).isZero();
  }

  /** Guards against answers that deny the run of a request that an endpoint has run and failed. */
  @ParameterizedTest
  @ValueSource(ints = {408, 421, 429, 503})
  void shouldReportUnknownOutcomeWhenEndpointFailsWithoutStatingThatItDidNotRun(int status)
      throws InterruptedException {
    fixture.pool.setEndpoints(first.status("engine-1"));
    first.setScript(call -> call.respond(status, "{}"));
    HttpResponse<String> action =
        fixture.post("/services/ordersvc/orders", "{}", "Idempotency-Key", "booking");
    assertThat(action.statusCode()).isEqualTo(502);
    assertThat(action.body()).contains("problem:1201", "\"outcome\":\"unknown\"");
    assertThat(fixture.ledger.awaitRecordedEnd()).isEqualTo("unknown");
    for (boolean streamed : new boolean[] {false, true}) {
      HttpResponse<String> chat = fixture.post(CHAT, CallerServerFixture.chat(streamed));
      assertThat(chat.statusCode()).isEqualTo(502);
      assertThat(chat.body()).contains("\"outcome\":\"unknown\"");
    }
    assertThat(first.dispatches()).isEqualTo(3);
  }

  @Test
  void shouldReportUnknownOutcomeWhenResponseHasNeitherLengthNorTerminator() throws Exception {
    try (ServerSocket socket = new ServerSocket(0)) {
      Thread engine = new Thread(() -> respondWithoutLength(socket));
      engine.setDaemon(true);
      engine.start();
      fixture.pool.setEndpoints(FakeEndpoint.status("raw", socket.getLocalPort()));

      HttpResponse<String> response =
          fixture.post(CHAT, CallerServerFixture.chat(false), "Snipewick-Timeout-Ms", "5000");

      assertThat(response.statusCode()).isEqualTo(502);
      assertThat(response.body()).contains("problem:1202", "\"outcome\":\"unknown\"");
    }
  }

  private static void respondWithoutLength(ServerSocket socket) {
    String head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n";
    try (Socket connection = socket.accept()) {
      byte[] unused = connection.getInputStream().readNBytes(50);
      String text = head + FakeEndpoint.completion("cut here?");
      connection.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
    } catch (java.io.IOException gone) {
      throw new java.io.UncheckedIOException(gone);
    }
  }

  static Stream<Arguments> streamFaults() {
    return Stream.of(
        fault(
            "broken, and rejected when it is resumed",
            true,
            EndpointFaultsTest::breakAndRejectResumption),
        fault("broken at each resumption", true, EndpointFaultsTest::breakEachTime),
        fault(
            "terminated before the last token",
            true,
            call -> {
              call.beginStream();
              call.sendTokens(1, 3, 9);
              call.sendTerminator();
            }));
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("streamFaults")
  void shouldEndStreamWithErrorWhenItCannotBeCompleted(
      String name, boolean streamed, FakeEndpoint.Script script) throws InterruptedException {
    first.setScript(script);

    HttpResponse<String> response = fixture.post(CHAT, CallerServerFixture.chat(streamed));

    assertThat(response.body())
        .contains("t1", "event: error", "problem:1202", "\"outcome\":\"unknown\"")
        .doesNotContain("[DONE]");
    assertThat(first.dispatches()).isEqualTo(1);
    assertThat(second.dispatches()).isZero();
    assertThat(fixture.pool.awaitResult()).isEqualTo(WorkEvent.Result.BROKEN);
  }

  @Test
  void shouldDeliverEachEventOnceWhenBrokenStreamIsResumed() {
    first.setScript(
        call -> {
          call.beginStream();
          if (!call.requestLine().startsWith("GET")) {
            call.sendTokens(1, 3, 9);
          } else if (call.requestLine().endsWith("/stream?after=3")) {
            call.sendTokens(4, 5, 9);
          } else if (call.requestLine().endsWith("/stream?after=5")) {
            call.sendTokens(6, 9, 9);
            call.sendTerminator();
          }
        });

    HttpResponse<String> response = fixture.post(CHAT, CallerServerFixture.chat(true));

    StringBuilder expected = new StringBuilder();
    for (int number = 1; number <= 9; number++) {
      expected.append("data: ").append(FakeEndpoint.token(number, number == 9)).append("\n\n");
    }
    assertThat(response.body()).isEqualTo(expected + "data: [DONE]\n\n");
    assertThat(first.dispatches()).isEqualTo(1);
    assertThat(fixture.events).contains(EventType.STREAM_RESUMED);
  }

  static Stream<Arguments> rejections() {
    return Stream.of(
        fault("rejected, whole", false, EndpointFaultsTest::reject),
        fault("rejected, streamed", true, EndpointFaultsTest::reject));
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("rejections")
  void shouldTryAnotherEndpointWhenRejectedBeforeRunning(
      String name, boolean streamed, FakeEndpoint.Script script) throws InterruptedException {
    first.setScript(script);
    second.setScript(streamed ? EndpointFaultsTest::streamFully : EndpointFaultsTest::respondFully);

    HttpResponse<String> response = fixture.post(CHAT, CallerServerFixture.chat(streamed));

    assertThat(response.statusCode()).isEqualTo(200);
    assertThat(second.dispatches()).isEqualTo(1);
    assertThat(fixture.pool.awaitResult()).isEqualTo(WorkEvent.Result.NOT_DISPATCHED);
    assertThat(fixture.pool.awaitResult()).isEqualTo(WorkEvent.Result.COMPLETE);
  }

  @Test
  void shouldTryAnotherEndpointWhenConnectionIsRefused() throws Exception {
    int closed;
    try (ServerSocket socket = new ServerSocket(0)) {
      closed = socket.getLocalPort();
    }
    fixture.pool.setEndpoints(FakeEndpoint.status("gone", closed), second.status("engine-2"));

    assertThat(fixture.post(CHAT, CallerServerFixture.chat(false)).statusCode()).isEqualTo(200);
    assertThat(fixture.pool.awaitResult()).isEqualTo(WorkEvent.Result.NOT_DISPATCHED);
  }

  @Test
  void shouldReportNotRunWhenAllEndpointsReject() throws InterruptedException {
    first.setScript(EndpointFaultsTest::reject);
    second.setScript(EndpointFaultsTest::reject);

    HttpResponse<String> response =
        fixture.post(CHAT, CallerServerFixture.chat(false), "Idempotency-Key", "all-refuse");

    assertThat(response.statusCode()).isEqualTo(503);
    assertThat(response.body())
        .contains("problem:1203", "\"outcome\":\"not-run\"", "\"attempt\":\"not-run\"");
    assertThat(fixture.pool.offered).hasSize(3);
    assertThat(fixture.ledger.awaitRecordedEnd()).isEqualTo("released");
  }

  @Test
  void shouldNotDispatchWhenPermitHasExpired() {
    fixture.pool.permitsExpired = true;

    HttpResponse<String> response = fixture.post(CHAT, CallerServerFixture.chat(false));

    assertThat(response.body()).contains("\"outcome\":\"not-run\"");
    assertThat(first.dispatches() + second.dispatches()).isZero();
  }

  @Test
  void shouldForwardEndpointErrorWhenItIsComplete() {
    first.setScript(call -> call.respond(400, "{\"error\":\"bad\"}"));

    HttpResponse<String> response = fixture.post(CHAT, CallerServerFixture.chat(true));

    assertThat(response.statusCode()).isEqualTo(400);
    assertThat(response.body()).isEqualTo("{\"error\":\"bad\"}");
  }

  private static Arguments fault(String name, boolean streamed, FakeEndpoint.Script script) {
    return Arguments.of(name, streamed, script);
  }

  private static void respondFully(FakeEndpoint.Call call) throws java.io.IOException {
    call.respond(200, FakeEndpoint.completion("fine"));
  }

  private static void streamFully(FakeEndpoint.Call call) throws java.io.IOException {
    call.beginStream();
    call.sendTokens(1, 2, 2);
    call.sendTerminator();
  }

  private static void reject(FakeEndpoint.Call call) throws java.io.IOException {
    call.setHeader("X-Not-Run", "true");
    call.respond(503, "{}");
  }

  private static void beginAndRejectResumption(FakeEndpoint.Call call) throws java.io.IOException {
    if (call.requestLine().startsWith("GET")) {
      call.respond(404, "{}");
    } else {
      call.beginStream();
    }
  }

  private static void breakAndRejectResumption(FakeEndpoint.Call call) throws java.io.IOException {
    beginAndRejectResumption(call);
    if (!call.requestLine().startsWith("GET")) {
      call.sendTokens(1, 3, 9);
    }
  }

  private static void breakEachTime(FakeEndpoint.Call call) throws java.io.IOException {
    call.beginStream();
    call.sendTokens(1, 1, 9);
  }
}
