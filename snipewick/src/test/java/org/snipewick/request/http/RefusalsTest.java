package org.snipewick.request.http;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestInstance;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;

@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class RefusalsTest {
  private static final String CHAT = "/v1/chat/completions";
  private static final String ORDERS = "/services/ordersvc/orders";
  private static final String KEY = "Idempotency-Key";

  private final CallerServerFixture fixture = CallerServerFixture.start();

  @AfterAll
  void stop() {
    fixture.close();
  }

  static Stream<Arguments> invalidRequests() {
    String chat = CallerServerFixture.chat(false);
    String limited = chat.replace("\"stream\"", "\"max_tokens\":5000,\"stream\"");
    return Stream.of(
        refusal("unknown token", 1003, "POST", CHAT, chat, "Authorization", "Bearer wrong"),
        refusal("other scheme", 1003, "POST", CHAT, chat, "Authorization", "Basic c2VjcmV0"),
        refusal("not JSON", 1001, "POST", CHAT, "{"),
        refusal("empty body", 1001, "POST", CHAT, ""),
        refusal("not an object", 1001, "POST", CHAT, "[]"),
        refusal("no model", 1001, "POST", CHAT, "{\"messages\":[]}"),
        refusal("no messages", 1001, "POST", CHAT, "{\"model\":\"wickpool\",\"messages\":[]}"),
        refusal("stream is not a boolean", 1001, "POST", CHAT, chat.replace("false", "\"no\"")),
        refusal("output limit above the model's", 1001, "POST", CHAT, limited),
        refusal("unknown model", 1005, "POST", CHAT, chat.replace("wickpool", "other")),
        refusal(
            "long prompt", 1002, "POST", CHAT, CallerServerFixture.chat("x".repeat(9000), false)),
        refusal("other method", 1008, "PUT", CHAT, chat),
        refusal("method that is not forwarded", 1008, "TRACE", ORDERS, "{}", KEY, "k"),
        refusal("unknown path", 1005, "POST", "/v2/anything", chat),
        refusal("class not a number", 1001, "POST", CHAT, chat, "Snipewick-Class", "high"),
        refusal("class 5", 1001, "POST", CHAT, chat, "Snipewick-Class", "5"),
        refusal("class above the team's", 1004, "POST", CHAT, chat, "Snipewick-Class", "1"),
        refusal("timeout not a number", 1001, "POST", CHAT, chat, "Snipewick-Timeout-Ms", "1s"),
        refusal("timeout zero", 1001, "POST", CHAT, chat, "Snipewick-Timeout-Ms", "0"),
        refusal("timeout too long", 1001, "POST", CHAT, chat, "Snipewick-Timeout-Ms", "600001"),
        refusal("key with a space", 1001, "POST", CHAT, chat, KEY, "a b"),
        refusal("long key", 1001, "POST", CHAT, chat, KEY, "k".repeat(129)),
        refusal("unknown service", 1005, "POST", "/services/other/x", "{}", KEY, "k"),
        refusal("action without key", 1006, "POST", ORDERS, "{}"),
        refusal(
            "body above the service's limit", 1002, "POST", ORDERS, "x".repeat(100_001), KEY, "k"),
        refusal("body above the server's limit", 1002, "POST", CHAT, "x".repeat(4_194_305)));
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("invalidRequests")
  void shouldRefuseWithoutOutcomeOfEarlierCallsWhenRequestIsInvalid(
      String name, int number, String method, String path, String body, String[] headers) {
    HttpRequest request =
        fixture
            .request(path, headers)
            .method(method, HttpRequest.BodyPublishers.ofString(body))
            .build();

    HttpResponse<String> response =
        fixture.client.sendAsync(request, HttpResponse.BodyHandlers.ofString()).join();

    String outcome = List.of(headers).contains("k") ? "unknown" : "not-run";
    assertThat(response.body())
        .contains("urn:snipewick:problem:" + number + "\"")
        .contains("\"outcome\":\"" + outcome + "\"", "\"attempt\":\"not-run\"");
    assertThat(response.headers().firstValue("Content-Type")).hasValue("application/problem+json");
    assertThat(fixture.pool.offered).isEmpty();
  }

  @Test
  void shouldRefuseAsTooLargeWhenBodyWithoutLengthExceedsLimit() {
    HttpRequest request =
        fixture
            .request(CHAT)
            .POST(
                HttpRequest.BodyPublishers.ofInputStream(
                    () -> new java.io.ByteArrayInputStream(new byte[5_000_000])))
            .build();

    HttpResponse<String> response =
        fixture.client.sendAsync(request, HttpResponse.BodyHandlers.ofString()).join();

    assertThat(response.statusCode()).isEqualTo(413);
  }

  /** Request text, with "~" for a line break, then status and problem number of the response. */
  @ParameterizedTest(name = "{0}")
  @CsvSource(
      delimiter = '|',
      value = {
        "garbage~~|400|1001",
        "BREW /services/ordersvc/pot HTTP/1.1~Host: t~~|405|1008",
        "CONNECT example.org:443 HTTP/1.1~Connection: close~~|405|1008",
        "GET /health HTTP/3.7~Host: t~~|400|1001",
        "GET http:// HTTP/1.1~Host: t~~|400|1001",
        "GET /health HTTP/1.1~no colon~~|400|1001",
        "GET /health HTTP/1.1~Long: LONG~~|413|1002",
        "GET /LONG HTTP/1.1~Host: t~~|413|1002",
        "GET /health HTTP/1.1~MANY~|413|1002",
        "POST /v1/models HTTP/1.1~Content-Length: -5~~|400|1001",
        "POST /v1/models HTTP/1.1~Content-Length: five~~|400|1001",
        "POST /v1/models HTTP/1.1~Transfer-Encoding: chunked~~zz~|400|1001"
      })
  void shouldRespondWithProblemAndServeOthersWhenRequestIsMalformed(
      String sent, int status, int number) throws Exception {
    String text =
        sent.replace("LONG", "x".repeat(40_000))
            .replace("MANY", "A: b~".repeat(200))
            .replace("~", "\r\n");
    try (RawCaller caller = RawCaller.connect(fixture)) {
      assertThat(caller.send(text).readAll())
          .startsWith("HTTP/1.1 " + status)
          .contains("urn:snipewick:problem:" + number + "\"", "application/problem+json")
          .containsOnlyOnce("HTTP/1.1")
          .contains("\"outcome\":\"not-run\"", "\"attempt\":\"not-run\"");
    }
    assertThat(fixture.get("/v1/models").statusCode()).isEqualTo(200);
  }

  /** Path of a HEAD request, status and allowed methods; the response never has a body. */
  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      nullValues = "-",
      value = {
        "/health|200|-",
        "/v1/models|200|-",
        "/v1/outcomes/unused|200|-",
        "/v1/chat/completions|405|POST",
        "/services/ordersvc/orders/7|405|GET, PUT, POST, DELETE, OPTIONS, PATCH",
        "/v2/anything|404|-"
      })
  void shouldRespondWithoutBodyWhenMethodIsHead(String path, int status, String allowed)
      throws Exception {
    String head =
        "HEAD "
            + path
            + " HTTP/1.1\r\nHost: t\r\nAuthorization: Bearer "
            + CallerServerFixture.TOKEN
            + "\r\n\r\n";
    try (RawCaller caller = RawCaller.connect(fixture)) {
      String first = caller.send(head).readUntil("\r\n\r\n");
      assertThat(first).startsWith("HTTP/1.1 " + status);
      if (allowed != null) {
        assertThat(first).contains("Allow: " + allowed);
      }
      assertThat(caller.send("GET /health HTTP/1.1\r\nHost: t\r\n\r\n").readUntil("ok"))
          .startsWith("HTTP/1.1 200");
    }
  }

  @Test
  void shouldServeOthersWhenOneCallerSendsGarbage() throws Exception {
    try (RawCaller caller = RawCaller.connect(fixture)) {
      assertThat(caller.send("\u0000\u0001 garbage\r\n\r\n").readAll()).contains("400");
    }
    assertThat(fixture.get("/health").statusCode()).isEqualTo(200);
    assertThat(fixture.get("/v1/models").body()).contains("\"id\":\"wickpool\"");
  }

  private static Arguments refusal(
      String name, int number, String method, String path, String body, String... headers) {
    return Arguments.of(name, number, method, path, body, headers);
  }
}
