package org.snipewick.cli;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.io.IOException;
import java.time.Duration;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.snipewick.relay.ScriptedEndpoint;
import org.snipewick.transport.response.ResponseCase;
import org.snipewick.transport.response.ResponseCases;

/** Guards against commands that succeed, or print a document, because of malformed responses. */
class MalformedAdminResponseTest {
  private static final String DOCUMENT = "{\"version\":7,\"events\":[]}";
  private static final Duration TIMEOUT = Duration.ofSeconds(5);

  static Stream<ResponseCase> malformed() {
    return Stream.concat(ResponseCases.malformed().stream(), ResponseCases.truncated().stream());
  }

  static Stream<ResponseCase> sound() {
    return Stream.concat(
        ResponseCases.sound().stream(), ResponseCases.endingWithConnection().stream());
  }

  @ParameterizedTest
  @MethodSource("malformed")
  void shouldReportNoResponseWhenItIsMalformed(ResponseCase malformed) throws IOException {
    assertThat(get(malformed.response("", DOCUMENT)))
        .isInstanceOf(OperatorClient.Response.NotReceived.class);
  }

  @ParameterizedTest
  @MethodSource("sound")
  void shouldReturnDocumentWhenResponseIsSound(ResponseCase sound) throws IOException {
    OperatorClient.Response response = get(sound.response("", DOCUMENT));

    assertThat(response).isInstanceOf(OperatorClient.Response.Received.class);
    assertThat(((OperatorClient.Response.Received) response).body().toString()).isEqualTo(DOCUMENT);
  }

  @ParameterizedTest
  @ValueSource(strings = {"127.0.0.1", "localhost"})
  void shouldSendWholeRequestWhenHostIsNameOrNumber(String host) throws IOException {
    try (ScriptedEndpoint instance =
        ScriptedEndpoint.start(
            ScriptedEndpoint.closing("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"))) {
      OperatorClient.Response response =
          OperatorClient.of(host + ":" + instance.port(), "secret", TIMEOUT)
              .post("/admin/x?y=%2Fz", JsonNodeFactory.instance.textNode("caf\351"), 7);

      assertThat(response.isSuccess()).isTrue();
      assertThat(instance.requests().get(0))
          .startsWith("POST /admin/x?y=%2Fz HTTP/1.1\r\n")
          .containsIgnoringCase("Authorization: Bearer secret\r\n")
          .containsIgnoringCase("If-Match: \"7\"\r\n")
          .containsIgnoringCase("Content-Type: application/json\r\n")
          .endsWith("\r\n\r\n\"caf\303\251\"");
    }
  }

  @Test
  void shouldReportNoResponseWhenItDoesNotArriveInTime() throws IOException {
    try (ScriptedEndpoint silent = ScriptedEndpoint.start((request, connection) -> {})) {
      OperatorClient client =
          OperatorClient.of("127.0.0.1:" + silent.port(), "secret", Duration.ofMillis(300));

      assertThat(client.get("/")).isInstanceOf(OperatorClient.Response.NotReceived.class);
    }
  }

  @Test
  void shouldReportNoResponseWhenTokenHasLineEnd() {
    assertThat(OperatorClient.of("127.0.0.1:1", "secret\r\nInjected: x", TIMEOUT).get("/"))
        .isInstanceOf(OperatorClient.Response.NotReceived.class);
  }

  private static OperatorClient.Response get(String response) throws IOException {
    try (ScriptedEndpoint instance = ScriptedEndpoint.start(ScriptedEndpoint.closing(response))) {
      return OperatorClient.of("127.0.0.1:" + instance.port(), "secret", TIMEOUT).get("/");
    }
  }
}
