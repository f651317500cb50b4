package org.snipewick.relay;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.time.Duration;
import java.util.concurrent.locks.LockSupport;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.snipewick.route.CallKind;
import org.snipewick.route.Plans;

/** Guards against calls that a planned stop passes on and then cuts off, or ends without a word. */
class PlannedStopTest {
  private static final Duration TIME_LEFT = Duration.ofSeconds(2);
  private static final String END_OF_HEAD = "\r\n\r\n";
  private static final String SOUND =
      "HTTP/1.1 200 OK\r\nSignature: s\r\nContent-Length: 5\r\n\r\nsound";
  private static final String STREAM =
      "HTTP/1.1 200 OK\r\nSignature: s\r\nTransfer-Encoding: chunked\r\n\r\n"
          + "7\r\nid: 1\n\n\r\n";
  private static final String LAST_CHUNK = "0\r\n\r\n";

  private final RelayFixture relay =
      new RelayFixture(
          Plans.plan(
              1,
              Plans.route("safe", "/safe/"),
              Plans.route("unsafe", "/unsafe/", CallKind.UNSAFE, 2, false),
              Plans.route("stream", "/stream/", CallKind.STREAM, 2, false),
              Plans.route("resumable", "/resumable/", CallKind.STREAM, 2, true)));

  @AfterEach
  void close() {
    relay.close();
  }

  @ParameterizedTest
  @ValueSource(strings = {"safe", "unsafe", "stream", "resumable"})
  void shouldPassOnOnlyCallsThatCanEndWhenStopHasBegun(String pool) throws IOException {
    ScriptedEndpoint endpoint = ScriptedEndpoint.start(sound(pool));
    relay.setEndpoints(pool, endpoint);
    relay.beginStop(TIME_LEFT);
    assertThat(exchange(pool, 4_500))
        .startsWith("HTTP/1.1 503")
        .contains("problem:1106", "not-run", "Retry-After: 0.050", "Connection: close");
    assertThat(endpoint.requests()).isEmpty();
    assertThat(exchange(pool, 1_000)).startsWith("HTTP/1.1 200");
  }

  @ParameterizedTest
  @CsvSource({"safe, true", "unsafe, false", "stream, true", "resumable, true"})
  void shouldPassOnCallsThatUsuallyEndInTimeUnlessTheyMayNotBeRepeated(
      String pool, boolean isPassedOn) throws IOException {
    ScriptedEndpoint endpoint = ScriptedEndpoint.start(sound(pool));
    relay.setEndpoints(pool, endpoint);
    for (int call = 0; call < CallDurations.MIN_CALLS; call++) {
      assertThat(exchange(pool, 4_500)).startsWith("HTTP/1.1 200");
    }
    relay.beginStop(TIME_LEFT);
    assertThat(exchange(pool, 4_500)).startsWith(isPassedOn ? "HTTP/1.1 200" : "HTTP/1.1 503");
    assertThat(endpoint.requests()).hasSize(CallDurations.MIN_CALLS + (isPassedOn ? 1 : 0));
  }

  @ParameterizedTest
  @ValueSource(strings = {"safe", "unsafe", "stream", "resumable"})
  void shouldAnswerThatOutcomeIsUnknownWhenCallIsOnEndpointAtTheEnd(String pool)
      throws IOException {
    ScriptedEndpoint silent = ScriptedEndpoint.start((request, connection) -> {});
    relay.setEndpoints(pool, silent);
    try (Socket socket = send(pool, 4_500)) {
      awaitRequests(silent, 1);
      relay.beginStop(TIME_LEFT);
      relay.endAllCalls();
      assertThat(RelayFixture.read(socket, END_OF_HEAD))
          .startsWith("HTTP/1.1 502")
          .contains("unknown");
    }
    relay.awaitEnding(silent);
  }

  @ParameterizedTest
  @ValueSource(strings = {"safe", "unsafe", "stream", "resumable"})
  void shouldAnswerThatCallHasNotRunWhenItStillWaits(String pool) throws IOException {
    ScriptedEndpoint silent = ScriptedEndpoint.start((request, connection) -> {});
    relay.setEndpoints(pool, silent);
    Socket[] running = new Socket[RelayFixture.SLOTS];
    for (int index = 0; index < running.length; index++) {
      running[index] = send(pool, 4_500);
    }
    awaitRequests(silent, running.length);
    try (Socket waiting = send(pool, 4_500)) {
      LockSupport.parkNanos(Duration.ofMillis(100).toNanos());
      relay.beginStop(TIME_LEFT);
      assertThat(RelayFixture.read(waiting, END_OF_HEAD))
          .startsWith("HTTP/1.1 503")
          .contains("problem:1106", "not-run");
    }
    relay.endAllCalls();
    for (Socket socket : running) {
      assertThat(RelayFixture.read(socket, END_OF_HEAD)).startsWith("HTTP/1.1 502");
      socket.close();
    }
    assertThat(silent.requests()).hasSize(RelayFixture.SLOTS);
  }

  @ParameterizedTest
  @ValueSource(strings = {"stream", "resumable"})
  void shouldNotEndStreamAsCompleteWhenItIsOpenAtTheEnd(String pool) throws IOException {
    ScriptedEndpoint endpoint =
        ScriptedEndpoint.start(
            (request, connection) -> ScriptedEndpoint.write(connection, STREAM + "9\r\nid: 2\nda"));
    relay.setEndpoints(pool, endpoint);
    try (Socket socket = send(pool, 4_500)) {
      awaitRequests(endpoint, 1);
      LockSupport.parkNanos(Duration.ofMillis(200).toNanos());
      relay.beginStop(TIME_LEFT);
      relay.endAllCalls();
      assertThat(RelayFixture.read(socket, END_OF_HEAD))
          .startsWith("HTTP/1.1 200")
          .contains("id: 1\n\n")
          .endsWith("<end>");
    }
    relay.awaitEnding(endpoint);
  }

  @Test
  void shouldRefuseRequestsThatArriveOnKeptConnectionAfterTheEnd() throws IOException {
    ScriptedEndpoint endpoint = ScriptedEndpoint.start(sound("unsafe"));
    relay.setEndpoints("unsafe", endpoint);
    try (Socket socket = send("unsafe", 900)) {
      assertThat(RelayFixture.read(socket, END_OF_HEAD)).startsWith("HTTP/1.1 200");
      relay.beginStop(TIME_LEFT);
      relay.endAllCalls();
      ScriptedEndpoint.write(socket, request("unsafe", 900));
      assertThat(RelayFixture.read(socket, END_OF_HEAD)).doesNotContain("200");
    }
    assertThat(endpoint.requests()).hasSize(1);
  }

  private static ScriptedEndpoint.Script sound(String pool) {
    boolean isStream = pool.equals("stream") || pool.equals("resumable");
    return ScriptedEndpoint.closing(isStream ? STREAM + LAST_CHUNK : SOUND);
  }

  private static void awaitRequests(ScriptedEndpoint endpoint, int count) {
    long endNanos = System.nanoTime() + Duration.ofSeconds(5).toNanos();
    while (endpoint.requests().size() < count && System.nanoTime() - endNanos < 0) {
      LockSupport.parkNanos(1_000_000);
    }
    assertThat(endpoint.requests()).hasSize(count);
  }

  private String exchange(String pool, long millisLeft) throws IOException {
    return relay.exchange(request(pool, millisLeft));
  }

  private Socket send(String pool, long millisLeft) throws IOException {
    Socket socket = relay.connect();
    ScriptedEndpoint.write(socket, request(pool, millisLeft));
    return socket;
  }

  private static String request(String pool, long millisLeft) {
    return "POST /"
        + pool
        + "/ HTTP/1.1\r\nHost: desk.example\r\nKey: key-1\r\nCall-Id: c-1\r\nLeft-Ms: "
        + millisLeft
        + "\r\nContent-Length: 0\r\n\r\n";
  }
}
