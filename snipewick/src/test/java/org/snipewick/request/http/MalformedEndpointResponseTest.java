package org.snipewick.request.http;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestInstance;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.snipewick.endpoint.http.FakeEndpoint;
import org.snipewick.relay.ScriptedEndpoint;
import org.snipewick.transport.response.ResponseCase;
import org.snipewick.transport.response.ResponseCases;

/** Guards against malformed responses of engines and services that reach callers as answers. */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class MalformedEndpointResponseTest {
  private static final int STREAMS_AT_A_TIME = 16;
  private static final String CHAT = "/v1/chat/completions";
  private static final String JSON = "Content-Type: application/json\r\n";
  private static final String EVENT_STREAM = "Content-Type: text/event-stream\r\n";
  private static final String COMPLETION = FakeEndpoint.completion("hello");
  private static final String EVENTS =
      "data: " + FakeEndpoint.token(1, true) + "\n\ndata: [DONE]\n\n";

  private final CallerServerFixture fixture = CallerServerFixture.start();
  private int orders;

  @AfterAll
  void stop() {
    fixture.close();
  }

  static Stream<ResponseCase> malformed() {
    return Stream.concat(ResponseCases.malformed().stream(), ResponseCases.truncated().stream());
  }

  static List<ResponseCase> sound() {
    return ResponseCases.sound();
  }

  static Stream<Arguments> rejections() {
    return Stream.of("Oth er: x\r\n", ": x\r\n", "Other\r\n", " fold\r\n", "Other: \b\r\n")
        .map(fault -> "HTTP/1.1 503 Full\r\nX-Not-Run: true\r\nRetry-After: 30\r\n" + fault)
        .map(head -> Arguments.of(head + "Content-Length: 0\r\n\r\n"));
  }

  @ParameterizedTest
  @MethodSource("malformed")
  void shouldReportUnknownOutcomeWhenResponseOfServiceIsMalformed(ResponseCase malformed)
      throws IOException {
    HttpResponse<String> response = order(malformed.response(JSON, COMPLETION));

    assertThat(response.statusCode()).isEqualTo(502);
    assertThat(response.body()).contains("problem:1202", "\"outcome\":\"unknown\"");
  }

  @ParameterizedTest
  @MethodSource("malformed")
  void shouldReportUnknownOutcomeWhenResponseOfEngineIsMalformed(ResponseCase malformed)
      throws IOException {
    HttpResponse<String> response = chat(malformed.response(JSON, COMPLETION), false);

    assertThat(response.statusCode()).isEqualTo(502);
    assertThat(response.body()).contains("problem:1202", "\"outcome\":\"unknown\"");
  }

  /**
   * A truncated stream is not among these, as its last event shows that it is complete. Broken
   * streams are resumed after a pause, so that many run at a time.
   */
  @Test
  void shouldNotDeliverCompleteStreamWhenResponseOfEngineIsMalformed() {
    ExecutorService threads = Executors.newFixedThreadPool(STREAMS_AT_A_TIME);
    try {
      List<CompletableFuture<Void>> streams =
          ResponseCases.malformed().stream()
              .map(each -> CompletableFuture.runAsync(() -> assertNotComplete(each), threads))
              .toList();
      streams.forEach(CompletableFuture::join);
    } finally {
      threads.shutdownNow();
    }
  }

  private static void assertNotComplete(ResponseCase malformed) {
    try (CallerServerFixture server = CallerServerFixture.start();
        ScriptedEndpoint endpoint = start(malformed.response(EVENT_STREAM, EVENTS))) {
      server.pool.setEndpoints(FakeEndpoint.status("engine", endpoint.port()));
      HttpResponse<String> response = server.post(CHAT, CallerServerFixture.chat(true));

      assertThat(response.statusCode()).as(malformed.name()).isEqualTo(502);
      assertThat(response.body()).as(malformed.name()).contains("\"outcome\":\"unknown\"");
    } catch (CompletionException | IOException brokenOff) {
      assertThat(brokenOff).as(malformed.name()).hasRootCauseInstanceOf(IOException.class);
    }
  }

  @ParameterizedTest
  @MethodSource("sound")
  void shouldDeliverWholeBodyWhenResponseIsSound(ResponseCase sound) throws IOException {
    HttpResponse<String> order = order(sound.response(JSON, COMPLETION));
    assertThat(order.statusCode()).isEqualTo(200);
    assertThat(order.body()).isEqualTo(COMPLETION);

    HttpResponse<String> chat = chat(sound.response(JSON, COMPLETION), false);
    assertThat(chat.statusCode()).isEqualTo(200);
    assertThat(chat.body()).contains("hello");

    HttpResponse<String> stream = chat(sound.response(EVENT_STREAM, EVENTS), true);
    assertThat(stream.statusCode()).isEqualTo(200);
    assertThat(stream.body()).contains("t1").contains("[DONE]");
  }

  @ParameterizedTest
  @MethodSource("rejections")
  void shouldReportUnknownOutcomeWhenHeadOfRejectionIsMalformed(String rejection)
      throws IOException {
    assertUnknown(order(rejection));
    assertUnknown(chat(rejection, false));
  }

  private static void assertUnknown(HttpResponse<String> response) {
    assertThat(response.statusCode()).isEqualTo(502);
    assertThat(response.body()).contains("\"outcome\":\"unknown\"");
    assertThat(response.headers().firstValue("Retry-After")).isEmpty();
  }

  @ParameterizedTest
  @ValueSource(strings = {"", "Content-Length: 0\r\n"})
  void shouldDeliverResponseWithoutBodyWhenStatusIsNoContent(String field) throws IOException {
    HttpResponse<String> response = order("HTTP/1.1 204 Empty\r\n" + field + "\r\n");

    assertThat(response.statusCode()).isEqualTo(204);
    assertThat(response.body()).isEmpty();
  }

  /** Guards against a field that an endpoint writes into the response of this server. */
  @Test
  void shouldNotPassOnFieldWhenItIsHiddenInContentType() throws IOException {
    HttpResponse<String> response =
        order(
            "HTTP/1.1 200 OK\r\nContent-Type: text/plain\rInjected: x\r\n"
                + "Content-Length: 2\r\n\r\nhi");

    assertThat(response.statusCode()).isEqualTo(502);
    assertThat(response.headers().firstValue("Injected")).isEmpty();
  }

  private HttpResponse<String> order(String response) throws IOException {
    try (ScriptedEndpoint endpoint = start(response)) {
      fixture.pool.setEndpoints(FakeEndpoint.status("service", endpoint.port()));
      String key = "booking-" + ++orders;
      return fixture.post("/services/ordersvc/orders", "{}", "Idempotency-Key", key);
    }
  }

  private HttpResponse<String> chat(String response, boolean streamed) throws IOException {
    try (ScriptedEndpoint endpoint = start(response)) {
      fixture.pool.setEndpoints(FakeEndpoint.status("engine", endpoint.port()));
      return fixture.post(CHAT, CallerServerFixture.chat(streamed));
    }
  }

  private static ScriptedEndpoint start(String response) {
    return ScriptedEndpoint.start(ScriptedEndpoint.closing(response));
  }
}
