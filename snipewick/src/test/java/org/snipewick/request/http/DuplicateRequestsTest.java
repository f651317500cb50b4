package org.snipewick.request.http;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.snipewick.endpoint.http.FakeEndpoint;
import org.snipewick.failure.Failure;
import org.snipewick.failure.FailureType;
import org.snipewick.idempotency.KeyState;

class DuplicateRequestsTest {
  private static final String CHAT = "/v1/chat/completions";
  private static final String ORDERS = "/services/ordersvc/orders";
  private static final String KEY = "Idempotency-Key";

  private final CallerServerFixture fixture = CallerServerFixture.start();
  private final FakeEndpoint endpoint = FakeEndpoint.start(DuplicateRequestsTest::respond);

  DuplicateRequestsTest() {
    fixture.pool.setEndpoints(endpoint.status("endpoint-1"));
  }

  @AfterEach
  void stop() {
    fixture.close();
    endpoint.close();
  }

  static Stream<Arguments> calls() {
    return Stream.of(
        Arguments.of("action", ORDERS, "{}"),
        Arguments.of("whole model request", CHAT, CallerServerFixture.chat(false)),
        Arguments.of("streamed model request", CHAT, CallerServerFixture.chat(true)));
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("calls")
  void shouldReturnStoredResponseWithoutDispatchWhenKeyHasRun(String name, String path, String body)
      throws InterruptedException {
    final HttpResponse<String> first = fixture.post(path, body, KEY, "k");
    assertThat(fixture.ledger.awaitRecordedEnd()).isEqualTo("complete");

    HttpResponse<String> second = fixture.post(path, body, KEY, "k");

    assertThat(second.statusCode()).isEqualTo(first.statusCode());
    assertThat(second.body()).isEqualTo(first.body());
    assertThat(second.headers().firstValue("Content-Type"))
        .isEqualTo(first.headers().firstValue("Content-Type"));
    assertThat(endpoint.dispatches()).isEqualTo(1);
    assertThat(fixture.get("/v1/outcomes/k").body()).contains("\"outcome\":\"ran\"", "\"body\"");
  }

  static Stream<Arguments> keyStates() {
    return Stream.of(
        Arguments.of(new KeyState.InProgress(), 409, 1109, "unknown", "in-progress"),
        Arguments.of(new KeyState.RanWithoutAnswer(), 410, 1204, "ran", "ran"),
        Arguments.of(new KeyState.Unknown(), 502, 1201, "unknown", "unknown"));
  }

  @ParameterizedTest
  @MethodSource("keyStates")
  void shouldReportOutcomeOfKeyAndAttemptNotRunWhenKeyIsKnown(
      KeyState state, int status, int number, String outcome, String queriedOutcome) {
    fixture.ledger.states.put("fleet/k", state);

    HttpResponse<String> response = fixture.post(ORDERS, "{}", KEY, "k");

    assertThat(response.statusCode()).isEqualTo(status);
    assertThat(response.body())
        .contains("problem:" + number, "\"outcome\":\"" + outcome + "\"")
        .contains("\"attempt\":\"not-run\"");
    assertThat(endpoint.dispatches()).isZero();
    assertThat(fixture.get("/v1/outcomes/k").body())
        .contains("\"outcome\":\"" + queriedOutcome + "\"");
  }

  static Stream<Arguments> refusals() {
    return Stream.of(
        Arguments.of(Failure.notRun(FailureType.PLATFORM_UNAVAILABLE, "down"), "not-run"),
        Arguments.of(
            Failure.unknown(FailureType.PLATFORM_UNAVAILABLE, "ambiguous write"), "unknown"),
        Arguments.of(Failure.unknown(FailureType.REGISTRAR_UNAVAILABLE, "cut"), "unknown"),
        Arguments.of(Failure.ran(FailureType.KEY_REUSED, "other body"), "ran"));
  }

  @ParameterizedTest
  @MethodSource("refusals")
  void shouldNotDispatchWhenClaimFails(Failure failure, String outcome) {
    fixture.ledger.refusal = failure.withRetryAfter(Duration.ofMillis(2001));

    HttpResponse<String> response = fixture.post(ORDERS, "{}", KEY, "k");

    assertThat(response.body())
        .contains("\"outcome\":\"" + outcome + "\"", "\"attempt\":\"not-run\"");
    assertThat(response.headers().firstValue("Retry-After")).hasValue("3");
    assertThat(endpoint.dispatches()).isZero();
  }

  @Test
  void shouldReportUnknownOutcomeWhenRefusedBeforeKeyLookup() throws InterruptedException {
    fixture.post(CHAT, CallerServerFixture.chat(false), KEY, "k");
    assertThat(fixture.ledger.awaitRecordedEnd()).isEqualTo("complete");

    assertThat(
            fixture
                .post(CHAT, CallerServerFixture.chat(false), KEY, "k", "Snipewick-Class", "1")
                .body())
        .contains("problem:1004", "\"outcome\":\"unknown\"", "\"attempt\":\"not-run\"");
    assertThat(fixture.post("/services/other/orders", "{}", KEY, "k").body())
        .contains("problem:1005", "\"outcome\":\"unknown\"", "\"attempt\":\"not-run\"");
    assertThat(fixture.post(CHAT, CallerServerFixture.chat(false), KEY, "no key").body())
        .contains("problem:1001", "\"outcome\":\"not-run\"");
  }

  @Test
  void shouldReportRanWhenStreamIsTooLongToStore() throws InterruptedException {
    String longToken = FakeEndpoint.token(1, false).replace("t1", "x".repeat(300_000));
    endpoint.setScript(
        call -> {
          call.beginStream();
          call.sendEvent(longToken);
          call.sendTokens(2, 2, 2);
          call.sendTerminator();
        });

    assertThat(fixture.post(CHAT, CallerServerFixture.chat(true), KEY, "k").body())
        .endsWith("[DONE]\n\n");
    assertThat(fixture.ledger.awaitRecordedEnd()).isEqualTo("complete");

    HttpResponse<String> duplicate = fixture.post(CHAT, CallerServerFixture.chat(true), KEY, "k");
    assertThat(duplicate.statusCode()).isEqualTo(410);
    assertThat(duplicate.body()).contains("problem:1204", "\"outcome\":\"ran\"");
    assertThat(endpoint.dispatches()).isEqualTo(1);
  }

  @Test
  void shouldServeReadsWhenTheyHaveNoKey() {
    fixture.ledger.refusal = Failure.notRun(FailureType.PLATFORM_UNAVAILABLE, "down");

    assertThat(fixture.get("/services/ordersvc/orders/7").statusCode()).isEqualTo(201);
    assertThat(fixture.get("/services/ordersvc/orders/7").statusCode()).isEqualTo(201);
    assertThat(endpoint.dispatches()).isEqualTo(2);
  }

  @ParameterizedTest
  @CsvSource({
    "a/b, a%2Fb",
    "a/b, a/b",
    "a?b, a%3Fb",
    "a%2Fb, a%252Fb",
    "a+b, a+b",
    "a+b, a%2Bb",
    "a%b, a%25b",
    "#1, %231"
  })
  void shouldReportOutcomeWhenKeyIsEncodedInPath(String key, String path)
      throws InterruptedException {
    fixture.post(ORDERS, "{}", KEY, key);
    assertThat(fixture.ledger.awaitRecordedEnd()).isEqualTo("complete");

    assertThat(fixture.get("/v1/outcomes/" + path).body())
        .contains("\"outcome\":\"ran\"", "\"key\":\"" + key + "\"");
  }

  @ParameterizedTest
  @ValueSource(strings = {"", "a%20b", "%C3%A4", "LONG"})
  void shouldRefuseOutcomeQueryWhenKeyIsInvalid(String path) {
    HttpResponse<String> response =
        fixture.get("/v1/outcomes/" + path.replace("LONG", "k".repeat(129)));

    assertThat(response.statusCode()).isEqualTo(400);
    assertThat(response.body()).contains("problem:1001");
  }

  @Test
  void shouldReportNotRunWhenKeyIsUnused() {
    assertThat(fixture.get("/v1/outcomes/unused").body()).contains("\"outcome\":\"not-run\"");
  }

  private static void respond(FakeEndpoint.Call call) throws java.io.IOException {
    if (call.body().contains("\"stream\":true")) {
      call.beginStream();
      call.sendTokens(1, 4, 4);
      call.sendTerminator();
    } else {
      boolean model = call.requestLine().endsWith(CHAT);
      call.respond(model ? 200 : 201, FakeEndpoint.completion("fine"));
    }
  }
}
