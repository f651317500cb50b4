package org.snipewick.relay;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.snipewick.route.CallKind;
import org.snipewick.route.Plans;

/** Tests responses that are cut, repeated or not delimited, and errors in the middle of streams. */
class BrokenResponseTest {
  private static final String SIGNED = "HTTP/1.1 200 OK\r\nSignature: s\r\n";
  private static final String CHUNKED = SIGNED + "Transfer-Encoding: chunked\r\n\r\n";
  private static final String REFUSAL =
      "HTTP/1.1 503 Full\r\nNot-Run: 1\r\nKeep-Alive: timeout=60\r\nContent-Length: 0\r\n\r\n";
  private static final String LAST_CHUNK = "\r\n0\r\n\r\n";

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
  void shouldNotUseConnectionAgainWhenEndpointWritesRefusalTwice() throws IOException {
    ScriptedEndpoint endpoint =
        ScriptedEndpoint.start(
            (request, connection) -> {
              if (request.contains("refused")) {
                ScriptedEndpoint.write(connection, REFUSAL + REFUSAL);
              } else {
                ScriptedEndpoint.write(connection, SIGNED + "Content-Length: 2\r\n\r\nhi");
                connection.close();
              }
            });
    relay.setEndpoints("unsafe", endpoint);
    assertThat(exchange("/unsafe/refused")).startsWith("HTTP/1.1 503");
    relay.awaitEnding(endpoint);
    assertThat(endpoint.endings()).containsExactly("closed");
    for (int request = 0; request < 5; request++) {
      String response = exchange("/unsafe/" + request);
      while (response.startsWith("HTTP/1.1 503") && response.contains(":1105")) {
        response = exchange("/unsafe/" + request);
      }
      assertThat(response).startsWith("HTTP/1.1 200").endsWith("hi");
    }
    assertThat(endpoint.requests()).hasSize(6);
  }

  @Test
  void shouldNotTellThatRequestWasNotRunWhenRefusalBelongsToAnotherRequest() throws IOException {
    relay.setEndpoints(
        "unsafe", closing("HTTP/1.1 503 Full\r\nCall-Id: other\r\nNot-Run: 1\r\n\r\n"));
    assertThat(exchange("/unsafe/")).startsWith("HTTP/1.1 502").contains("unknown");
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "HTTP/1.1 500 Broken\r\nSignature: s\r\nContent-Length: 5\r\n\r\nerror",
        "HTTP/1.1 500 Broken\r\n\r\nerror",
        "HTTP/1.1 404 Missing\r\nSignature: s\r\nContent-Length: 5\r\n\r\nerror",
        "HTTP/1.1 429 Full\r\nContent-Length: 5\r\n\r\nerror",
        "HTTP/1.1 503 Full\r\nNot-Run: 1\r\nContent-Length: 5\r\n\r\nerror",
        "HTTP/1.1 421 Misdirected\r\nContent-Length: 5\r\n\r\nerror",
        "HTTP/1.1 204 Empty\r\nSignature: s\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nerror",
        SIGNED + "Call-Id: other\r\nContent-Length: 5\r\n\r\nerror",
        SIGNED + "Content-Length: 5\r\n\r\nerror",
        SIGNED + "Content-Type: application/json\r\nContent-Length: 9\r\n\r\n\"error\"\n\n",
        SIGNED + "\r\nerror",
        SIGNED + "\r\n",
        SIGNED,
        "HTTP/1.1 200 O",
        "error",
        ""
      })
  void shouldSendNothingOfErrorWhenStreamIsResumedInVain(String error) throws IOException {
    ScriptedEndpoint broken = closing(CHUNKED + "7\r\nid: 1\n\n\r\n9\r\nid: 2\nda");
    relay.setEndpoints("resumable", broken, closing(error));
    String response = exchange("/resumable/");
    assertThat(response).startsWith("HTTP/1.1 200").contains("id: 1\n\n").endsWith("<end>");
    assertThat(response).doesNotContain("error").doesNotContain("id: 2").doesNotContain(LAST_CHUNK);
    assertThat(response.indexOf("HTTP/1.1", 1)).isNegative();
  }

  @ParameterizedTest
  @ValueSource(strings = {"/safe/", "/unsafe/", "/stream/", "/resumable/"})
  void shouldNotSucceedWhenEndpointClosesInTheMiddleOfHead(String path) throws IOException {
    for (String head :
        new String[] {SIGNED + "Content-Length: 2\r\n\r\n", SIGNED + "\r\n", CHUNKED}) {
      for (int length = 0; length < head.length(); length += 1 + length % 3) {
        relay.setStartedEndpoint(pool(path), closing(head.substring(0, length)));
        assertThat(exchange(path)).as(head.substring(0, length)).startsWith("HTTP/1.1 502");
      }
    }
  }

  @ParameterizedTest
  @CsvSource({
    "'id: 1\n\nid: 2\ndata: x\n\n', true",
    "'id: 1\r\n\r\nid: 2\r\n\r\n', true",
    "'id: 1\n\n\n', true",
    "'id: 1\n\nid: 2\ndata: x\n', false",
    "'id: 1\n\nid: 2\ndat', false",
    "'id: 1\n\ni', false",
    "'id', false"
  })
  void shouldEndStreamAsCompleteOnlyAfterWholeEventWhenItEndsWithItsConnection(
      String events, boolean isComplete) throws IOException {
    relay.setEndpoints("stream", closing(SIGNED + "\r\n" + events));
    String response = exchange("/stream/");
    assertThat(response.endsWith(LAST_CHUNK)).isEqualTo(isComplete);
    assertThat(response.endsWith("<end>")).isEqualTo(!isComplete);
  }

  @Test
  void shouldEndStreamAsBrokenWhenItsChunksEndInsideEvent() throws IOException {
    relay.setEndpoints("stream", closing(CHUNKED + "b\r\nid: 1\n\nid: \r\n0\r\n\r\n"));
    assertThat(exchange("/stream/")).contains("id: 1\n\n").endsWith("<end>");
  }

  @Test
  void shouldNotSucceedWhenStreamWithoutLengthEndsBeforeItsFirstEvent() throws IOException {
    relay.setEndpoints("stream", closing(SIGNED + "\r\n"));
    assertThat(exchange("/stream/")).startsWith("HTTP/1.1 502").contains("unknown");
  }

  @Test
  void shouldDeliverWholeAnswerWhenItEndsWithItsConnection() throws IOException {
    relay.setEndpoints("unsafe", closing(SIGNED + "\r\nhello"));
    assertThat(exchange("/unsafe/")).startsWith("HTTP/1.1 200").endsWith("\r\n\r\nhello");
  }

  @Test
  void shouldNotSucceedWhenAnswerWithoutLengthIsReset() throws IOException {
    relay.setEndpoints(
        "unsafe",
        ScriptedEndpoint.start(
            (request, connection) -> {
              ScriptedEndpoint.write(connection, SIGNED + "\r\nhel");
              connection.setSoLinger(true, 0);
              connection.close();
            }));
    assertThat(exchange("/unsafe/")).startsWith("HTTP/1.1 502");
  }

  private static String pool(String path) {
    return path.replace("/", "");
  }

  private static ScriptedEndpoint closing(String bytes) {
    return ScriptedEndpoint.start(
        (request, connection) -> {
          ScriptedEndpoint.write(connection, bytes);
          connection.close();
        });
  }

  private String exchange(String path) throws IOException {
    return relay.exchange(
        "GET " + path + " HTTP/1.1\r\nHost: desk.example\r\nKey: key-1\r\nCall-Id: c-1\r\n\r\n");
  }
}
