package org.snipewick.endpoint.http;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.snipewick.endpoint.LoadReport;
import org.snipewick.relay.ScriptedEndpoint;
import org.snipewick.transport.response.ResponseCase;
import org.snipewick.transport.response.ResponseCases;

/** Guards against load reports that are read from malformed responses. */
class MalformedLoadReportTest {
  private static final String REPORT =
      "{\"state\":\"live\",\"running\":3,\"queued\":0,\"kvTokens\":9000,\"maxKvTokens\":131072,"
          + "\"cacheTokens\":65536,\"maxInFlight\":16,\"models\":[\"planner\"],"
          + "\"asOfMillis\":1796357793544}";
  private static final String RESPONSE =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\na1\r\n" + REPORT + "\r\n0\r\n\r\n";

  private final TestEventLoop loop = TestEventLoop.start();
  private final HttpLoadReportClient client = HttpLoadReportClient.of(loop.eventloop());

  @AfterEach
  void close() {
    loop.close();
  }

  static Stream<ResponseCase> malformed() {
    return Stream.concat(ResponseCases.malformed().stream(), ResponseCases.truncated().stream());
  }

  @ParameterizedTest
  @MethodSource("malformed")
  void shouldFailWhenResponseIsMalformed(ResponseCase malformed) throws IOException {
    try (ScriptedEndpoint endpoint =
        ScriptedEndpoint.start(ScriptedEndpoint.closing(malformed.response("", REPORT)))) {
      assertThatThrownBy(() -> read(endpoint)).isInstanceOf(CompletionException.class);
    }
  }

  @ParameterizedTest
  @MethodSource("org.snipewick.transport.response.ResponseCases#sound")
  void shouldReadReportWhenResponseIsSound(ResponseCase sound) throws IOException {
    try (ScriptedEndpoint endpoint =
        ScriptedEndpoint.start(ScriptedEndpoint.closing(sound.response("", REPORT)))) {
      assertThat(read(endpoint).running()).isEqualTo(3);
    }
  }

  @ParameterizedTest
  @ValueSource(strings = {RESPONSE, RESPONSE + "\r\n"})
  void shouldReadSeveralReportsOnOneConnectionWhenTheyAreSound(String response) throws IOException {
    AtomicInteger connections = new AtomicInteger();
    try (ScriptedEndpoint endpoint =
        ScriptedEndpoint.start(
            (request, connection) -> {
              connections.incrementAndGet();
              answerAll(connection, response);
            })) {
      for (int report = 0; report < 3; report++) {
        assertThat(read(endpoint).running()).isEqualTo(3);
      }
    }
    assertThat(connections).hasValue(1);
  }

  @Test
  void shouldNotReadReportWhenItWasSentBeforeItsRequest() throws IOException {
    try (ScriptedEndpoint endpoint =
        ScriptedEndpoint.start(
            (request, connection) -> answerAll(connection, RESPONSE + RESPONSE))) {
      assertThatThrownBy(() -> read(endpoint)).isInstanceOf(CompletionException.class);
    }
  }

  /** Answers the request that was read, and each further one. */
  private static void answerAll(Socket connection, String response) throws IOException {
    InputStream input = connection.getInputStream();
    StringBuilder request = new StringBuilder();
    ScriptedEndpoint.write(connection, response);
    for (int next = input.read(); next >= 0; next = input.read()) {
      request.append((char) next);
      if (request.toString().endsWith("\r\n\r\n")) {
        request.setLength(0);
        ScriptedEndpoint.write(connection, response);
      }
    }
  }

  private LoadReport read(ScriptedEndpoint endpoint) {
    return client
        .read(FakeEndpoint.status("engine", endpoint.port()))
        .orTimeout(10, TimeUnit.SECONDS)
        .join();
  }
}
