package org.snipewick.relay;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.locks.LockSupport;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.snipewick.route.CallKind;
import org.snipewick.route.Plans;

/** Tests a relay with callers and endpoints that exchange raw bytes with it. */
class RelayServerTest {
  private static final Duration TIMEOUT = Duration.ofSeconds(3);

  /** Time after which the relay has forwarded what an endpoint has written. */
  private static final long FORWARDING_TIME_NANOS = 50_000_000;

  private final RelayFixture relay =
      new RelayFixture(
          Plans.plan(
              1,
              Plans.route("safe", "/safe/"),
              Plans.route("unsafe", "/unsafe/", CallKind.UNSAFE, 1, false),
              Plans.route("stream", "/stream/", CallKind.STREAM, 1, false),
              Plans.route("resumable", "/resumable/", CallKind.STREAM, 2, true)));

  @AfterEach
  void close() {
    relay.close();
  }

  @Test
  void shouldForwardRequestAndResponseUnchangedWhenEndpointResponds() throws IOException {
    ScriptedEndpoint endpoint = ScriptedEndpoint.start(signed("hello"));
    relay.setEndpoints("safe", endpoint);
    String response =
        relay.exchange(
            request("POST", "/safe/a%2Fb//c?x=1&&y=%20", "X-Own: 7\r\nContent-Length: 4\r\n")
                + "body");
    assertThat(response).startsWith("HTTP/1.1 200").contains("Signature: s\r\n").endsWith("hello");
    assertThat(endpoint.requests())
        .singleElement()
        .asString()
        .startsWith("POST /safe/a%2Fb//c?x=1&&y=%20 HTTP/1.1\r\n")
        .contains("X-Own: 7\r\n", "Team: dispatchers\r\n", "Only-At: e0\r\n", "Call-Id: c-1\r\n")
        .doesNotContain("key-1")
        .endsWith("body");
  }

  @Test
  void shouldReplaceReservedHeadersWhenCallerSetsThem() throws IOException {
    ScriptedEndpoint endpoint = ScriptedEndpoint.start(signed("x"));
    relay.setEndpoints("safe", endpoint);
    relay.exchange(
        request(
            "GET", "/safe/", "Team: forged\r\nOnly-At: e9\r\nONLY-EVER: 1\r\nLeft-Ms: 900\r\n"));
    assertThat(endpoint.requests())
        .singleElement()
        .asString()
        .doesNotContain("forged", "e9", "EVER")
        .containsPattern("Left-Ms: (8\\d\\d|900)\r\n");
  }

  @ParameterizedTest
  @CsvSource({
    "/none/, Key: key-1, 404",
    "/safe/, Key: other, 401",
    "/safe/, X: y, 401",
    "/safe/, Key: key-1, 503"
  })
  void shouldRefuseWhenRouteOrApiKeyOrEndpointIsMissing(String path, String key, int status)
      throws IOException {
    String response =
        relay.exchange("GET " + path + " HTTP/1.1\r\nHost: desk.example\r\n" + key + "\r\n\r\n");
    assertThat(response).startsWith("HTTP/1.1 " + status);
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        "Content-Length: 5\r\nContent-Length: 44\r\n\r\nhello",
        "Content-Length : 2\r\n\r\nhi",
        "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
        "Transfer-Encoding: chunked\r\n\r\nZZ\r\nhello\r\n0\r\n\r\n",
        "Host: other.example\r\n\r\n",
        "Call-Id: second\r\n\r\n"
      })
  void shouldForwardNothingWhenRequestIsAmbiguous(String rest) throws IOException {
    ScriptedEndpoint endpoint = ScriptedEndpoint.start(signed("x"));
    relay.setEndpoints("safe", endpoint);
    String smuggled = "GET /safe/smuggled HTTP/1.1\r\nHost: desk.example\r\nKey: key-1\r\n\r\n";
    String head = request("POST", "/safe/", "");
    String response = relay.exchange(head.substring(0, head.length() - 2) + rest + smuggled);
    assertThat(response).startsWith("HTTP/1.1 400");
    assertThat(endpoint.requests()).isEmpty();
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "HTTP/1.1 200 OK\r\nCall-Id: c-1\r\nContent-Length: 5\r\n\r\nhello",
        "HTTP/1.1 200 OK\r\nCall-Id: c-9\r\nSignature: s\r\nContent-Length: 5\r\n\r\nhello",
        "HTTP/1.1 200 OK\r\nSignature: s\r\nContent-Length: 9\r\n\r\nhello",
        "HTTP/1.1 200 OK\r\nSignature: s\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n",
        "HTTP/1.1 200 OK\r\nSignature: s\r\nContent-Encoding: gzip\r\nContent-Length: 2\r\n\r\nhi",
        "no answer in the protocol\r\n\r\n",
        ""
      })
  void shouldNotRespondWithSuccessWhenEndpointResponseIsInvalid(String bytes) throws IOException {
    ScriptedEndpoint endpoint = ScriptedEndpoint.start(closing(bytes));
    relay.setEndpoints("unsafe", endpoint);
    assertThat(relay.exchange(request("POST", "/unsafe/", ""))).startsWith("HTTP/1.1 502");
    assertThat(endpoint.requests()).hasSize(1);
  }

  @Test
  void shouldDropSurplusBytesWhenEndpointSendsTwoResponses() throws IOException {
    String one = "HTTP/1.1 200 OK\r\nSignature: s\r\nContent-Length: 5\r\n\r\nfirst";
    ScriptedEndpoint endpoint =
        ScriptedEndpoint.start(closing(one + one.replace("first", "other")));
    relay.setEndpoints("unsafe", endpoint);
    assertThat(relay.exchange(request("POST", "/unsafe/", ""))).endsWith("first");
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n"
      })
  void shouldReportNotRunWhenEndpointDidNotRunRequest(String bytes) throws IOException {
    ScriptedEndpoint endpoint = ScriptedEndpoint.start(closing(bytes));
    relay.setEndpoints("unsafe", endpoint);
    assertThat(relay.exchange(request("POST", "/unsafe/", "")))
        .startsWith("HTTP/1.1 503")
        .contains("Retry-After: 0.", "not-run");
  }

  @Test
  void shouldForwardFailureWhenEndpointRanAndFailed() throws IOException {
    ScriptedEndpoint endpoint =
        ScriptedEndpoint.start(
            closing("HTTP/1.1 500 Broken\r\nSignature: s\r\nContent-Length: 3\r\n\r\nbad"));
    relay.setEndpoints("unsafe", endpoint);
    assertThat(relay.exchange(request("POST", "/unsafe/", "")))
        .startsWith("HTTP/1.1 500")
        .contains("Signature: s")
        .endsWith("bad");
  }

  @Test
  void shouldRetrySafeRequestWhenFirstEndpointFails() throws IOException {
    ScriptedEndpoint bad = ScriptedEndpoint.start(closing("HTTP/1.1 500 Broken\r\n\r\n"));
    ScriptedEndpoint good = ScriptedEndpoint.start(signed("good"));
    relay.setEndpoints("safe", bad, good);
    assertThat(relay.exchange(request("GET", "/safe/", ""))).endsWith("good");
    assertThat(bad.requests()).hasSize(1);
  }

  @Test
  void shouldTryAnotherEndpointWhenFirstIsUnreachable() throws IOException {
    ScriptedEndpoint good = ScriptedEndpoint.start(signed("good"));
    relay.setEndpointsWithUnreachableFirst("unsafe", good);
    assertThat(relay.exchange(request("POST", "/unsafe/", ""))).endsWith("good");
  }

  @Test
  void shouldForwardEventsAsTheyArriveWhenEndpointStreams() throws Exception {
    ScriptedEndpoint endpoint =
        ScriptedEndpoint.start(
            (request, connection) -> {
              ScriptedEndpoint.write(connection, STREAM_HEAD + chunk("id: 1\n\n"));
              connection.getInputStream().read();
            });
    relay.setEndpoints("stream", endpoint);
    try (Socket caller = relay.connect()) {
      caller.getOutputStream().write(request("GET", "/stream/", "").getBytes());
      byte[] received = new byte[1_000];
      StringBuilder text = new StringBuilder();
      while (text.indexOf("id: 1\n\n") < 0) {
        text.append(new String(received, 0, caller.getInputStream().read(received)));
      }
      assertThat(text).contains("Signature: s", "chunked");
    }
    await(() -> endpoint.endings().equals(List.of("closed")) || !endpoint.endings().isEmpty());
  }

  @Test
  void shouldNotCompleteResponseWhenNonResumableStreamBreaks() throws IOException {
    ScriptedEndpoint endpoint = ScriptedEndpoint.start(closing(STREAM_HEAD + chunk("id: 1\n\n")));
    relay.setEndpoints("stream", endpoint);
    assertThat(relay.exchange(request("GET", "/stream/", "")))
        .contains("id: 1\n\n")
        .doesNotContain("\r\n0\r\n")
        .endsWith("<end>");
  }

  @ParameterizedTest
  @ValueSource(strings = {"", "zz\r\n", "5", "5\r\nab", "7\r\nid: 2\n\nXX", "HTTP/1.1 200 OK\r\n"})
  void shouldForwardOnlyEventsWhenFramingOfStreamBreaks(String rest) throws IOException {
    String event = chunk("id: 1\n\n");
    ScriptedEndpoint endpoint =
        ScriptedEndpoint.start(
            (request, connection) -> {
              ScriptedEndpoint.write(connection, STREAM_HEAD + event);
              LockSupport.parkNanos(FORWARDING_TIME_NANOS);
              ScriptedEndpoint.write(connection, rest);
              connection.close();
            });
    relay.setEndpoints("stream", endpoint);
    assertThat(relay.exchange(request("GET", "/stream/", "")))
        .contains("\r\n\r\n" + event)
        .doesNotContain("\r\n0\r\n")
        .doesNotContain("Bad Request")
        .endsWith("<end>");
  }

  @Test
  void shouldResumeAfterLastCompleteEventWhenResumableStreamBreaks() throws IOException {
    ScriptedEndpoint broken =
        ScriptedEndpoint.start(closing(STREAM_HEAD + chunk("id: 1\n\nid: 2\n\nid: 3\nda")));
    ScriptedEndpoint other =
        ScriptedEndpoint.start(closing(STREAM_HEAD + chunk("id: 3\n\nid: 4\n\n") + "0\r\n\r\n"));
    relay.setEndpoints("resumable", broken, other);
    String response = relay.exchange(request("GET", "/resumable/", "Last-Event-Id: 0\r\n"));
    assertThat(response.replaceAll("\r\n[0-9a-f]+\r\n", ""))
        .contains("id: 1\n\nid: 2\n\nid: 3\n\nid: 4\n\n");
    assertThat(response).endsWith("0\r\n\r\n");
    assertThat(other.requests())
        .singleElement()
        .asString()
        .containsIgnoringCase("Last-Event-Id: 2\r\n")
        .doesNotContainIgnoringCase("Last-Event-Id: 0");
  }

  @Test
  void shouldCancelAtEndpointWhenCallerDisconnectsBeforeResponse() throws Exception {
    ScriptedEndpoint endpoint = ScriptedEndpoint.start((request, connection) -> {});
    relay.setEndpoints("unsafe", endpoint);
    try (Socket caller = relay.connect()) {
      caller.getOutputStream().write(request("POST", "/unsafe/", "").getBytes());
      await(() -> endpoint.requests().size() == 1);
    }
    await(() -> !endpoint.endings().isEmpty());
    assertThat(endpoint.endings()).containsAnyOf("closed", "broken");
  }

  @Test
  void shouldTimeOutWhenDeadlineOfCallerPasses() throws IOException {
    ScriptedEndpoint endpoint = ScriptedEndpoint.start((request, connection) -> {});
    relay.setEndpoints("unsafe", endpoint);
    long startNanos = System.nanoTime();
    assertThat(relay.exchange(request("POST", "/unsafe/", "Left-Ms: 300\r\n")))
        .startsWith("HTTP/1.1 504");
    assertThat(Duration.ofNanos(System.nanoTime() - startNanos)).isLessThan(TIMEOUT);
  }

  @Test
  void shouldReportNotRunWhenInstanceIsStopping() throws IOException {
    relay.setEndpoints("safe", ScriptedEndpoint.start(signed("x")));
    relay.refuseNewRequests();
    assertThat(relay.exchange(request("GET", "/safe/", "")))
        .startsWith("HTTP/1.1 503")
        .contains("Retry-After: 0.050");
  }

  @Test
  void shouldServeFurtherRequestsWhenConnectionIsKeptAlive() throws IOException {
    relay.setEndpoints("safe", ScriptedEndpoint.start(signed("x")));
    try (Socket caller = relay.connect()) {
      for (int round = 0; round < 3; round++) {
        caller.getOutputStream().write(request("GET", "/safe/", "").getBytes());
        assertThat(RelayFixture.read(caller, "\r\n\r\n")).startsWith("HTTP/1.1 200").endsWith("x");
      }
    }
  }

  private static final String STREAM_HEAD =
      "HTTP/1.1 200 OK\r\nCall-Id: c-1\r\nSignature: s\r\nContent-Type: text/event-stream\r\n"
          + "Transfer-Encoding: chunked\r\n\r\n";

  private static String chunk(String text) {
    return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
  }

  private static String request(String method, String path, String headers) {
    return method
        + " "
        + path
        + " HTTP/1.1\r\nHost: desk.example\r\nKey: key-1\r\nCall-Id: c-1\r\n"
        + headers
        + "\r\n";
  }

  /** Returns a script that responds with status 200, a signature and a body. */
  private static ScriptedEndpoint.Script signed(String body) {
    return closing(
        "HTTP/1.1 200 OK\r\nCall-Id: c-1\r\nSignature: s\r\nLoad: 1,0,4\r\nContent-Length: "
            + body.length()
            + "\r\n\r\n"
            + body);
  }

  /** Returns a script that writes the bytes and closes the connection. */
  private static ScriptedEndpoint.Script closing(String bytes) {
    return (request, connection) -> {
      ScriptedEndpoint.write(connection, bytes);
      connection.close();
    };
  }

  private static void await(java.util.function.BooleanSupplier condition)
      throws InterruptedException {
    long endNanos = System.nanoTime() + TIMEOUT.toNanos();
    while (!condition.getAsBoolean()) {
      assertThat(System.nanoTime())
          .as("condition was not met within " + TIMEOUT)
          .isLessThan(endNanos);
      java.util.concurrent.locks.LockSupport.parkNanos(10_000_000);
    }
  }
}
