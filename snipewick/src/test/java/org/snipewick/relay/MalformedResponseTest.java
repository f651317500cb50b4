package org.snipewick.relay;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.snipewick.event.EventType;
import org.snipewick.route.CallKind;
import org.snipewick.route.Plans;
import org.snipewick.transport.response.ResponseCase;
import org.snipewick.transport.response.ResponseCases;

/** Guards against malformed responses of endpoints that reach callers or are believed. */
class MalformedResponseTest {
  private static final List<String> PATHS = List.of("/safe/", "/unsafe/", "/stream/");
  private static final String SIGNATURE = "Signature: s\r\n";
  private static final String SIGNED = "HTTP/1.1 200 OK\r\n" + SIGNATURE;
  private static final String BODY = "id: 1\n\nid: 2\n\n";
  private static final String ODD_NAME = "Oth er: x\r\n";

  private final List<Map<String, Object>> brokenResponses = new CopyOnWriteArrayList<>();
  private final List<EventType> events = new CopyOnWriteArrayList<>();
  private final RelayFixture relay =
      new RelayFixture(
          Plans.plan(
              1,
              Plans.route("safe", "/safe/"),
              Plans.route("unsafe", "/unsafe/", CallKind.UNSAFE, 1, false),
              Plans.route("stream", "/stream/", CallKind.STREAM, 1, false),
              Plans.route("resumable", "/resumable/", CallKind.STREAM, 2, true)),
          this::record);

  @AfterEach
  void close() {
    relay.close();
  }

  private void record(EventType type, String subject, Map<String, Object> details) {
    events.add(type);
    if (type == EventType.RESPONSE_BROKEN) {
      brokenResponses.add(details);
    }
  }

  static Stream<Arguments> malformed() {
    return Stream.concat(
        onEachPath(ResponseCases.malformed()), onEachPath(ResponseCases.truncated()));
  }

  static Stream<Arguments> sound() {
    return Stream.concat(
        onEachPath(ResponseCases.sound()), onEachPath(ResponseCases.endingWithConnection()));
  }

  private static Stream<Arguments> onEachPath(List<ResponseCase> cases) {
    return PATHS.stream().flatMap(path -> cases.stream().map(each -> Arguments.of(path, each)));
  }

  @ParameterizedTest(name = "{0} {1}")
  @MethodSource("malformed")
  void shouldNotDeliverCompleteResponseWhenItIsMalformed(String path, ResponseCase malformed)
      throws IOException {
    String response = exchange(path, malformed.response(SIGNATURE, BODY));

    if (path.equals("/stream/") && response.startsWith("HTTP/1.1 200")) {
      assertThat(response).endsWith("<end>").doesNotContain("\r\n0\r\n\r\n");
    } else {
      assertThat(response).startsWith("HTTP/1.1 502").contains("unknown");
    }
  }

  @ParameterizedTest(name = "{0} {1}")
  @MethodSource("sound")
  void shouldDeliverWholeBodyWhenResponseIsSound(String path, ResponseCase sound)
      throws IOException {
    String response = exchange(path, sound.response(SIGNATURE, BODY));

    assertThat(response).startsWith("HTTP/1.1 200");
    assertThat(path.equals("/stream/") ? dechunked(response) : response)
        .endsWith("\r\n\r\n" + BODY);
  }

  @ParameterizedTest
  @ValueSource(strings = {"204 Empty", "304 Same"})
  void shouldDeliverResponseWithoutBodyWhenItsStatusHasNone(String status) throws IOException {
    assertThat(exchange("/unsafe/", "HTTP/1.1 " + status + "\r\n" + SIGNATURE + "\r\n"))
        .startsWith("HTTP/1.1 " + status.substring(0, 3))
        .contains(SIGNATURE)
        .endsWith("\r\n\r\n");
  }

  @ParameterizedTest
  @ValueSource(strings = {ODD_NAME, "Content-Length : 14\r\n", "Content-Length: 14\r\n"})
  void shouldCheckHeadWhenItArrivesByteByByte(String field) throws IOException {
    String bytes = SIGNED + field + "\r\n" + BODY;
    relay.setEndpoints(
        "unsafe",
        ScriptedEndpoint.start(
            (request, connection) -> {
              connection.setTcpNoDelay(true);
              for (byte next : bytes.getBytes(ISO_8859_1)) {
                ScriptedEndpoint.write(connection, Character.toString(next));
              }
              connection.close();
            }));

    String response = exchange("/unsafe/");

    if (field.startsWith("Content-Length:")) {
      assertThat(response).startsWith("HTTP/1.1 200").endsWith(BODY);
    } else {
      assertThat(response).startsWith("HTTP/1.1 502").contains("unknown");
    }
  }

  static List<Arguments> rejections() {
    List<String> heads =
        List.of(
            "HTTP/1.1 503 Full\r\nNot-Run: 1\r\n",
            "HTTP/1.1 503 Full\r\nNot-Run: 1\r\nRetry-After: 30\r\n",
            "HTTP/1.1 421 Misdirected\r\n",
            "HTTP/1.1 429 Full\r\nNot-Run: 1\r\n",
            "HTTP/1.1 500 Broken\r\n",
            "HTTP/1.1 404 Missing\r\n");
    List<String> faults =
        List.of(
            ODD_NAME,
            ": x\r\n",
            "Other\r\n",
            " fold\r\n",
            "Other: \0\r\n",
            "Content-Length:\r\n",
            "Transfer-Encoding: gzip, chunked\r\n");
    return heads.stream()
        .flatMap(head -> faults.stream().map(fault -> Arguments.of(head, fault)))
        .toList();
  }

  @ParameterizedTest
  @MethodSource("rejections")
  void shouldReportUnknownOutcomeWhenHeadOfFailureIsMalformed(String head, String fault)
      throws IOException {
    assertThat(exchange("/unsafe/", head + fault + "\r\n"))
        .startsWith("HTTP/1.1 502")
        .contains("unknown")
        .doesNotContain("Retry-After")
        .doesNotContain("not-run");
  }

  @Test
  void shouldIgnoreRequestedPauseAndLimitWhenHeadIsMalformed() throws IOException {
    ScriptedEndpoint endpoint =
        ScriptedEndpoint.start(
            ScriptedEndpoint.closing(
                "HTTP/1.1 503 Full\r\nNot-Run: 1\r\nRetry-After: 30\r\nLimit: 0.001\r\n"
                    + "Leaving: 1\r\n"
                    + ODD_NAME
                    + "\r\n"));
    relay.setEndpoints("unsafe", endpoint);

    for (int request = 0; request < 3; request++) {
      assertThat(exchange("/unsafe/")).startsWith("HTTP/1.1 502");
    }

    assertThat(endpoint.requests()).hasSize(3);
    assertThat(events).doesNotContain(EventType.ENDPOINT_LIMITED);
  }

  @Test
  void shouldRepeatOnlySafeRequestWhenResponseIsMalformed() throws IOException {
    String malformed = SIGNED + ODD_NAME + "\r\n";
    String sound = SIGNED + "Content-Length: 5\r\n\r\nsound";
    ScriptedEndpoint second = ScriptedEndpoint.start(ScriptedEndpoint.closing(sound));
    relay.setEndpoints("safe", ScriptedEndpoint.start(ScriptedEndpoint.closing(malformed)), second);
    assertThat(exchange("/safe/")).startsWith("HTTP/1.1 200").endsWith("sound");
    assertThat(second.requests()).hasSize(1);

    relay.setEndpoints(
        "unsafe", ScriptedEndpoint.start(ScriptedEndpoint.closing(malformed)), second);
    assertThat(exchange("/unsafe/")).startsWith("HTTP/1.1 502").contains("unknown");
    assertThat(second.requests()).hasSize(1);
  }

  static Stream<String> malformedResumptions() {
    String head = SIGNED + "Last: x\r\n";
    return Stream.of(
        head + ODD_NAME + "Content-Length: 14\r\n\r\nid: 2\n\nid: 3\n\n",
        head + "Content-Length:\r\n\r\nid: 2\n\nid: 3\n\n",
        head + "Transfer-Encoding: xchunked\r\n\r\n7\r\nid: 2\n\n\r\n0\r\n\r\n",
        head + "Transfer-Encoding: chunked\r\n: x\r\n\r\n7\r\nid: 2\n\n\r\n0\r\n\r\n");
  }

  @ParameterizedTest
  @MethodSource("malformedResumptions")
  void shouldSendNothingOfResumedStreamWhenItsHeadIsMalformed(String resumption)
      throws IOException {
    String broken = SIGNED + "Transfer-Encoding: chunked\r\n\r\n7\r\nid: 1\n\n\r\n9\r\nid";
    relay.setEndpoints(
        "resumable",
        ScriptedEndpoint.start(ScriptedEndpoint.closing(broken)),
        ScriptedEndpoint.start(ScriptedEndpoint.closing(resumption)));

    assertThat(exchange("/resumable/"))
        .startsWith("HTTP/1.1 200")
        .contains("id: 1\n\n")
        .doesNotContain("id: 2")
        .doesNotContain("\r\n0\r\n\r\n")
        .endsWith("<end>");
  }

  @Test
  void shouldNameRuleWithoutBytesInEventWhenResponseIsMalformed() throws IOException {
    String response = exchange("/unsafe/", SIGNED + "Oth er: secret\r\n\r\n");

    assertThat(response).contains("not a token").doesNotContain("secret").doesNotContain("Oth er");
    assertThat(brokenResponses).hasSize(1);
    assertThat(brokenResponses.get(0).toString())
        .contains("field name is not a token that is followed by a colon")
        .doesNotContain("secret")
        .doesNotContain("Oth er");
  }

  /** Returns a response with the data of its chunks; fails if it is not in chunks. */
  private static String dechunked(String response) {
    int position = response.indexOf("\r\n\r\n") + 4;
    StringBuilder whole = new StringBuilder(response.substring(0, position));
    while (true) {
      int lineEnd = response.indexOf("\r\n", position);
      int size = Integer.parseInt(response.substring(position, lineEnd), 16);
      int dataEnd = lineEnd + 2 + size;
      whole.append(response, lineEnd + 2, dataEnd);
      if (size == 0) {
        assertThat(response.substring(dataEnd)).isEqualTo("\r\n");
        return whole.toString();
      }
      position = dataEnd + 2;
    }
  }

  private String exchange(String path, String response) throws IOException {
    relay.setEndpoints(
        path.replace("/", ""), ScriptedEndpoint.start(ScriptedEndpoint.closing(response)));
    return exchange(path);
  }

  private String exchange(String path) throws IOException {
    return relay.exchange(
        "GET " + path + " HTTP/1.1\r\nHost: desk.example\r\nKey: key-1\r\nCall-Id: c-1\r\n\r\n");
  }
}
