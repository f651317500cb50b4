package org.snipewick.relay;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.snipewick.route.CallKind;
import org.snipewick.route.Plans;

/** Guards against answers that deny the run of a request that an endpoint has run and failed. */
class NotRunStatusTest {
  private static final List<Integer> NOT_RUN_STATUSES = List.of(408, 421, 429, 503);
  private static final List<Integer> OTHER_STATUSES = List.of(400, 404, 409, 418, 500, 502, 504);
  private static final List<String> PATHS =
      List.of("/safe/", "/unsafe/", "/stream/", "/resumable/");
  private static final String SOUND_STREAM =
      "HTTP/1.1 200 OK\r\nSignature: s\r\nTransfer-Encoding: chunked\r\n\r\n"
          + "7\r\nid: 1\n\n\r\n0\r\n\r\n";

  private final RelayFixture relay =
      new RelayFixture(
          Plans.plan(
              1,
              Plans.route("safe", "/safe/", CallKind.SAFE, 3, false),
              Plans.route("unsafe", "/unsafe/", CallKind.UNSAFE, 3, false),
              Plans.route("stream", "/stream/", CallKind.STREAM, 3, false),
              Plans.route("resumable", "/resumable/", CallKind.STREAM, 3, true)));

  @AfterEach
  void close() {
    relay.close();
  }

  static Stream<Arguments> notRunStatuses() {
    return NOT_RUN_STATUSES.stream()
        .flatMap(status -> PATHS.stream().map(path -> Arguments.of(status, path)));
  }

  static Stream<Arguments> otherStatuses() {
    return OTHER_STATUSES.stream()
        .flatMap(status -> PATHS.stream().map(path -> Arguments.of(status, path)));
  }

  @ParameterizedTest
  @MethodSource("notRunStatuses")
  void shouldAnswerThatOutcomeIsUnknownWhenEndpointDoesNotStateThatItDidNotRun(
      int status, String path) throws IOException {
    relay.setEndpoints(pool(path), failing(status, ""));
    String response = exchange(path);
    if (status == 421) {
      assertThat(response).startsWith("HTTP/1.1 503").contains("not-run");
    } else {
      assertThat(response).startsWith("HTTP/1.1 502").contains("unknown");
      assertThat(response).doesNotContain("Signature").doesNotContain("Retry-After");
    }
  }

  @ParameterizedTest
  @MethodSource("notRunStatuses")
  void shouldAnswerThatRequestHasNotRunWhenEndpointStatesIt(int status, String path)
      throws IOException {
    relay.setEndpoints(pool(path), failing(status, "Not-Run: 1\r\n"));
    assertThat(exchange(path)).startsWith("HTTP/1.1 503").contains("not-run");
  }

  @ParameterizedTest
  @MethodSource("notRunStatuses")
  void shouldAnswerThatOutcomeIsUnknownWhenRepeatIsRejectedAfterFailedRun(int status, String path)
      throws IOException {
    ScriptedEndpoint rejecting = failing(503, "Not-Run: 1\r\n");
    relay.setEndpoints(pool(path), failing(status, ""), rejecting);
    String response = exchange(path);
    if (status == 421) {
      assertThat(response).startsWith("HTTP/1.1 503").contains("not-run");
    } else {
      assertThat(response).startsWith("HTTP/1.1 502").contains("unknown");
      assertThat(rejecting.requests()).hasSize(isIdempotent(path) ? 1 : 0);
    }
  }

  @ParameterizedTest
  @MethodSource("notRunStatuses")
  void shouldAnswerThatOutcomeIsUnknownWhenRepeatRunsAndFailsAfterRejection(int status, String path)
      throws IOException {
    relay.setEndpoints(pool(path), failing(503, "Not-Run: 1\r\n"), failing(status, ""));
    String response = exchange(path);
    assertThat(response).startsWith(status == 421 ? "HTTP/1.1 503" : "HTTP/1.1 502");
    assertThat(response).contains(status == 421 ? "not-run" : "unknown");
  }

  @ParameterizedTest
  @MethodSource("notRunStatuses")
  void shouldServeFromOtherEndpointWhenRequestMayRunTwice(int status, String path)
      throws IOException {
    ScriptedEndpoint sound = ScriptedEndpoint.start(ScriptedEndpoint.closing(SOUND_STREAM));
    relay.setEndpoints(pool(path), failing(status, ""), sound);
    assertThat(exchange(path).startsWith("HTTP/1.1 200"))
        .isEqualTo(isIdempotent(path) || status == 421);
  }

  @ParameterizedTest
  @MethodSource("otherStatuses")
  void shouldPassOnStatusAndBodyWhenStatusPromisesNothing(int status, String path)
      throws IOException {
    relay.setEndpoints(pool(path), failing(status, ""));
    String response = exchange(path);
    if (isIdempotent(path) && status >= 500) {
      assertThat(response).startsWith("HTTP/1.1 502").contains("unknown");
    } else {
      assertThat(response).startsWith("HTTP/1.1 " + status).endsWith("error");
      assertThat(response).contains("Signature: s");
    }
  }

  @ParameterizedTest
  @ValueSource(strings = {"/safe/", "/unsafe/", "/stream/", "/resumable/"})
  void shouldNotSucceedWhenSuccessStatesThatRequestHasNotRun(String path) throws IOException {
    relay.setEndpoints(
        pool(path),
        ScriptedEndpoint.start(
            ScriptedEndpoint.closing(
                SOUND_STREAM.replace("Signature", "Not-Run: 1\r\nSignature"))));
    assertThat(exchange(path)).startsWith("HTTP/1.1 502").contains("unknown");
  }

  private static boolean isIdempotent(String path) {
    return path.equals("/safe/") || path.equals("/resumable/");
  }

  private static String pool(String path) {
    return path.replace("/", "");
  }

  private static ScriptedEndpoint failing(int status, String fields) {
    return ScriptedEndpoint.start(
        ScriptedEndpoint.closing(
            "HTTP/1.1 "
                + status
                + " Failed\r\nSignature: s\r\n"
                + fields
                + "Content-Length: 5\r\n\r\nerror"));
  }

  private String exchange(String path) throws IOException {
    return relay.exchange(
        "POST "
            + path
            + " HTTP/1.1\r\nHost: desk.example\r\nKey: key-1\r\nCall-Id: c-1\r\n"
            + "Content-Length: 0\r\n\r\n");
  }
}
