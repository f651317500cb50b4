package org.snipewick.relay;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.locks.LockSupport;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.snipewick.route.CallKind;
import org.snipewick.route.CallerLimits;
import org.snipewick.route.Plans;
import org.snipewick.route.RoutingPlan;

/**
 * Guards against parts of responses that reach the caller as complete: responses that an endpoint
 * sends before it has read the request and then resets, and status lines that are none.
 */
class EarlyResponseTest {
  private static final int BODY_BYTES = 3_000_000;
  private static final String SIGNED = "HTTP/1.1 200 OK\r\nSignature: s\r\n";
  private static final String PART = "id: 1\n\nid: 2\ndata: par";

  private final RelayFixture relay =
      new RelayFixture(
          RoutingPlan.of(
              1,
              List.of(
                  Plans.route("safe", "/safe/"),
                  Plans.route("unsafe", "/unsafe/", CallKind.UNSAFE, 1, false),
                  Plans.route("stream", "/stream/", CallKind.STREAM, 1, false)),
              List.of(),
              List.of(Plans.team()),
              new CallerLimits(4_194_304, Duration.ofSeconds(3), Duration.ofSeconds(15))));

  @AfterEach
  void close() {
    relay.close();
  }

  /** When an endpoint resets the connection, and whether its response was read before. */
  enum Reset {
    BEFORE_BODY(0, false),
    WITHIN_BODY(BODY_BYTES / 2, false),
    WITHIN_BODY_AFTER_RESPONSE_WAS_READ(BODY_BYTES / 2, true),
    BEFORE_LAST_BYTE(BODY_BYTES - 1, true),
    AFTER_LAST_BYTE(BODY_BYTES, false),
    AFTER_LAST_BYTE_WHEN_RESPONSE_WAS_READ(BODY_BYTES, true);

    private final int bytesRead;
    private final boolean waits;

    Reset(int bytesRead, boolean waits) {
      this.bytesRead = bytesRead;
      this.waits = waits;
    }
  }

  static List<Arguments> resets() {
    return List.of("/safe/", "/unsafe/", "/stream/").stream()
        .flatMap(path -> List.of(Reset.values()).stream().map(reset -> Arguments.of(path, reset)))
        .toList();
  }

  @ParameterizedTest
  @MethodSource("resets")
  void shouldNotDeliverPartAsCompleteWhenEarlyResponseWithoutLengthIsReset(String path, Reset reset)
      throws IOException {
    try (ServerSocket server = answerEarly(SIGNED + "\r\n" + PART, reset)) {
      String response = upload(path, server);

      if (path.equals("/stream/") && response.startsWith("HTTP/1.1 200")) {
        assertThat(response).endsWith("<end>").doesNotContain("\r\n0\r\n\r\n");
      } else {
        assertThat(response).matches("(?s)HTTP/1.1 50[23] .*").doesNotContain("par");
      }
    }
  }

  @ParameterizedTest
  @MethodSource("resets")
  void shouldNotDeliverPartAsCompleteWhenEarlyResponseWithLengthIsReset(String path, Reset reset)
      throws IOException {
    String head = SIGNED + "Content-Length: " + (PART.length() + 1) + "\r\n\r\n";
    try (ServerSocket server = answerEarly(head + PART, reset)) {
      String response = upload(path, server);

      if (path.equals("/stream/") && response.startsWith("HTTP/1.1 200")) {
        assertThat(response).endsWith("<end>").doesNotContain("\r\n0\r\n\r\n");
      } else {
        assertThat(response).matches("(?s)HTTP/1.1 50[23] .*").doesNotContain("par");
      }
    }
  }

  @ParameterizedTest
  @MethodSource("resets")
  void shouldDeliverWholeResponseOrNoneWhenEarlyResponseIsComplete(String path, Reset reset)
      throws IOException {
    String body = "id: 1\n\nid: 2\n\n";
    String head = SIGNED + "Content-Length: " + body.length() + "\r\n\r\n";
    try (ServerSocket server = answerEarly(head + body, reset)) {
      String response = upload(path, server);

      if (!response.startsWith("HTTP/1.1 200")) {
        assertThat(response).matches("(?s)HTTP/1.1 50[23] .*");
      } else if (!response.endsWith("<end>")) {
        assertThat(response).contains("id: 1\n\n").contains("id: 2\n\n");
      }
    }
  }

  @ParameterizedTest
  @CsvSource({
    "2000, false", "000, false", "0200, false", "20, false", "-1, false", "600, false",
    "2a0, false", "20000, false", "' 200', false", "200, true", "404, true", "599, true",
  })
  void shouldRefuseResponseWhenStatusHasNotThreeDigits(String status, boolean isValid)
      throws IOException {
    relay.setEndpoints(
        "unsafe",
        ScriptedEndpoint.start(
            ScriptedEndpoint.closing(
                "HTTP/1.1 " + status + " OK\r\nSignature: s\r\nContent-Length: 2\r\n\r\nhi")));
    String response = relay.exchange(head("/unsafe/", 0));

    assertThat(response).startsWith("HTTP/1.1 " + (isValid ? status : "502"));
  }

  @ParameterizedTest
  @ValueSource(strings = {"2000", "200"})
  void shouldReadStatusWhenItArrivesByteByByte(String status) throws IOException {
    relay.setEndpoints(
        "unsafe",
        ScriptedEndpoint.start(
            (request, connection) -> {
              for (char next : ("HTTP/1.1 " + status + "\r\n").toCharArray()) {
                ScriptedEndpoint.write(connection, Character.toString(next));
                LockSupport.parkNanos(2_000_000);
              }
              ScriptedEndpoint.write(connection, "Signature: s\r\nContent-Length: 2\r\n\r\nhi");
              connection.close();
            }));

    assertThat(relay.exchange(head("/unsafe/", 0)))
        .startsWith("HTTP/1.1 " + (status.equals("200") ? "200" : "502"));
  }

  @Test
  void shouldRetryAtAnotherEndpointWhenStatusLineIsMalformed() throws IOException {
    relay.setEndpoints(
        "safe",
        ScriptedEndpoint.start(ScriptedEndpoint.closing("HTTP/1.1 2000 OK\r\n\r\nfalse")),
        ScriptedEndpoint.start(ScriptedEndpoint.closing(SIGNED + "Content-Length: 4\r\n\r\ntrue")));

    assertThat(relay.exchange(head("/safe/", 0))).startsWith("HTTP/1.1 200").endsWith("true");
  }

  /** Starts an endpoint that answers as soon as it has read the head, and then resets. */
  private static ServerSocket answerEarly(String response, Reset reset) throws IOException {
    ServerSocket server = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
    Thread thread =
        new Thread(
            () -> {
              try {
                while (true) {
                  answerOne(server.accept(), response, reset);
                }
              } catch (IOException closed) {
                return;
              }
            },
            "early-endpoint");
    thread.setDaemon(true);
    thread.start();
    return server;
  }

  private static void answerOne(Socket connection, String response, Reset reset)
      throws IOException {
    InputStream input = connection.getInputStream();
    StringBuilder head = new StringBuilder();
    while (head.indexOf("\r\n\r\n") < 0) {
      head.append((char) input.read());
    }
    connection.getOutputStream().write(response.getBytes(ISO_8859_1));
    if (reset.waits) {
      LockSupport.parkNanos(50_000_000);
    }
    input.readNBytes(reset.bytesRead);
    connection.setSoLinger(true, 0);
    connection.close();
  }

  private String upload(String path, ServerSocket endpoint) {
    relay.setEndpointPort(path.replace("/", ""), endpoint.getLocalPort());
    try (Socket socket = relay.connect()) {
      socket.getOutputStream().write(head(path, BODY_BYTES).getBytes(ISO_8859_1));
      socket.getOutputStream().write(new byte[BODY_BYTES]);
      return RelayFixture.read(socket, "\r\n\r\n");
    } catch (IOException broken) {
      throw new UncheckedIOException(broken);
    }
  }

  private static String head(String path, int bodyBytes) {
    return "POST "
        + path
        + " HTTP/1.1\r\nHost: desk.example\r\nKey: key-1\r\nCall-Id: c-1\r\nLeft-Ms: 4500\r\n"
        + "Content-Length: "
        + bodyBytes
        + "\r\n\r\n";
  }
}
