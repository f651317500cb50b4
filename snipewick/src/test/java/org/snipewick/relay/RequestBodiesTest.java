package org.snipewick.relay;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.Socket;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.locks.LockSupport;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.snipewick.route.CallKind;
import org.snipewick.route.CallerLimits;
import org.snipewick.route.Plans;
import org.snipewick.route.RoutingPlan;

/** Guards against many large bodies that leave requests without an answer. */
class RequestBodiesTest {
  private static final int BODY_BYTES = 2 * 1024 * 1024;
  private static final int MAX_BODY_BYTES = 4 * 1024 * 1024;
  private static final int CALLS = 40;
  private static final String SOUND =
      "HTTP/1.1 200 OK\r\nSignature: s\r\nContent-Length: 5\r\n\r\nsound";

  private final ExecutorService callers = Executors.newCachedThreadPool();
  private final RelayFixture relay =
      new RelayFixture(
          RoutingPlan.of(
              1,
              List.of(
                  Plans.route("safe", "/safe/"),
                  Plans.route("unsafe", "/unsafe/", CallKind.UNSAFE, 1, false)),
              List.of(),
              List.of(Plans.team()),
              new CallerLimits(MAX_BODY_BYTES, Duration.ofSeconds(3), Duration.ofSeconds(15))));

  @AfterEach
  void close() {
    callers.shutdownNow();
    relay.close();
  }

  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  @Timeout(60)
  void shouldAnswerAllAndServeSmallOnesWhenLargeBodiesExceedMemory(boolean isChunked)
      throws IOException {
    ScriptedEndpoint slow =
        ScriptedEndpoint.start(
            (request, connection) -> {
              LockSupport.parkNanos(Duration.ofMillis(300).toNanos());
              ScriptedEndpoint.write(connection, SOUND);
              connection.close();
            });
    relay.setEndpoints("unsafe", slow, slow, slow, slow);
    relay.addEndpoints("safe", ScriptedEndpoint.start(ScriptedEndpoint.closing(SOUND)));
    List<CompletableFuture<String>> large =
        IntStream.range(0, CALLS)
            .mapToObj(
                index ->
                    CompletableFuture.supplyAsync(
                        () -> send("/unsafe/", BODY_BYTES, isChunked), callers))
            .toList();
    while (!large.stream().allMatch(CompletableFuture::isDone)) {
      assertThat(send("/safe/", 1_000, isChunked)).endsWith("sound");
    }
    List<String> answers = large.stream().map(CompletableFuture::join).toList();
    assertThat(answers).allMatch(answer -> answer.startsWith("HTTP/1.1 200") || isRefusal(answer));
    assertThat(answers).anyMatch(RequestBodiesTest::isRefusal);
    assertThat(answers.stream().filter(answer -> answer.endsWith("sound")))
        .hasSize(slow.requests().size())
        .isNotEmpty();
    relay.awaitNoKeptBytes();
    assertThat(send("/unsafe/", BODY_BYTES, isChunked)).endsWith("sound");
  }

  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void shouldForwardBodyUnchangedWhenItIsLarge(boolean isChunked) throws IOException {
    ScriptedEndpoint endpoint = ScriptedEndpoint.start(ScriptedEndpoint.closing(SOUND));
    relay.setEndpoints("unsafe", endpoint);
    assertThat(send("/unsafe/", BODY_BYTES + 7, isChunked)).endsWith("sound");
    String request = endpoint.requests().get(0);
    assertThat(request.substring(request.indexOf("\r\n\r\n") + 4).getBytes(ISO_8859_1))
        .isEqualTo(body(BODY_BYTES + 7));
  }

  @Test
  void shouldForwardNothingWhenBodyIsLargerThanPermitted() throws IOException {
    ScriptedEndpoint endpoint = ScriptedEndpoint.start(ScriptedEndpoint.closing(SOUND));
    relay.setEndpoints("unsafe", endpoint);
    try (Socket socket = relay.connect()) {
      ScriptedEndpoint.write(socket, head("/unsafe/") + "Content-Length: 999999999\r\n\r\nhi");
      assertThat(endpoint.requests()).isEmpty();
    }
    relay.awaitNoKeptBytes();
    assertThat(endpoint.requests()).isEmpty();
  }

  private static boolean isRefusal(String answer) {
    return answer.startsWith("HTTP/1.1 503") && answer.contains("not-run");
  }

  private String send(String path, int bodyBytes, boolean isChunked) {
    try (Socket socket = relay.connect()) {
      OutputStream out = socket.getOutputStream();
      byte[] body = body(bodyBytes);
      String size = isChunked ? "Transfer-Encoding: chunked" : "Content-Length: " + bodyBytes;
      out.write((head(path) + size + "\r\n\r\n").getBytes(ISO_8859_1));
      if (isChunked) {
        out.write((Integer.toHexString(bodyBytes) + "\r\n").getBytes(ISO_8859_1));
      }
      out.write(body);
      if (isChunked) {
        out.write("\r\n0\r\n\r\n".getBytes(ISO_8859_1));
      }
      return RelayFixture.read(socket, "\r\n\r\n");
    } catch (IOException broken) {
      throw new UncheckedIOException(broken);
    }
  }

  private static String head(String path) {
    return "POST "
        + path
        + " HTTP/1.1\r\nHost: desk.example\r\nKey: key-1\r\nCall-Id: c-1\r\nLeft-Ms: 4500\r\n";
  }

  private static byte[] body(int bytes) {
    byte[] body = new byte[bytes];
    for (int index = 0; index < bytes; index++) {
      body[index] = (byte) (index * 31 + index / 251);
    }
    return body;
  }
}
