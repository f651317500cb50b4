package org.snipewick.relay;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
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
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.snipewick.route.CallKind;
import org.snipewick.route.Plans;

/** Guards against responses without end that leave other callers without an answer. */
class EndlessResponseTest {
  private static final int ENDLESS_CALLS = 40;
  private static final long PIECE_INTERVAL_NANOS = 1_000_000;
  private static final String CHUNKED_HEAD =
      "HTTP/1.1 200 OK\r\nSignature: s\r\nTransfer-Encoding: chunked\r\n\r\n";
  private static final String SOUND =
      "HTTP/1.1 200 OK\r\nSignature: s\r\nContent-Length: 5\r\n\r\nsound";

  private final ExecutorService callers = Executors.newCachedThreadPool();
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
    callers.shutdownNow();
    relay.close();
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "HTTP/1.1 200 OK\r\nSignature: s\r\n\r\n",
        "HTTP/1.1 200 OK\r\nSignature: s\r\nContent-Length: 99999999999\r\n\r\n",
        CHUNKED_HEAD,
        "HTTP/1.1 200 OK\r\nSignature: s\r\nField: ",
        "HTTP/1.1 200 OK\r\nSignature: s\r\n",
        ""
      })
  @Timeout(60)
  void shouldServeOthersMeanwhileAndAfterwardsWhenResponsesHaveNoEnd(String start)
      throws IOException {
    String repeated = start.equals(CHUNKED_HEAD) ? "4000\r\n" + "x".repeat(0x4000) + "\r\n" : "";
    playEndless("unsafe", start, repeated.isEmpty() ? "Field: value\r\n".repeat(1_000) : repeated);
  }

  @ParameterizedTest
  @ValueSource(strings = {"stream", "resumable"})
  @Timeout(60)
  void shouldServeOthersMeanwhileAndAfterwardsWhenEventsHaveNoEnd(String pool) throws IOException {
    playEndless(pool, CHUNKED_HEAD, "4000\r\n" + "x".repeat(0x4000) + "\r\n");
  }

  /** Plays many calls whose responses have no end, beside sound calls on another route. */
  private void playEndless(String pool, String start, String piece) throws IOException {
    relay.setEndpoints(
        pool,
        IntStream.range(0, ENDLESS_CALLS / 4)
            .mapToObj(index -> ScriptedEndpoint.start(endless(start, piece)))
            .toArray(ScriptedEndpoint[]::new));
    List<CompletableFuture<String>> endless =
        IntStream.range(0, ENDLESS_CALLS)
            .mapToObj(
                index ->
                    CompletableFuture.supplyAsync(() -> readToEnd("POST /" + pool + "/"), callers))
            .toList();
    relay.addEndpoints("safe", ScriptedEndpoint.start(ScriptedEndpoint.closing(SOUND)));
    while (!endless.stream().allMatch(CompletableFuture::isDone)) {
      assertSoundCallIsServed();
      LockSupport.parkNanos(Duration.ofMillis(20).toNanos());
    }
    for (CompletableFuture<String> call : endless) {
      assertThat(call.join()).doesNotEndWith("\r\n0\r\n\r\n");
    }
    assertSoundCallIsServed();
    relay.awaitNoKeptBytes();
  }

  private void assertSoundCallIsServed() {
    long startNanos = System.nanoTime();
    assertThat(exchange("GET /safe/")).endsWith("sound");
    assertThat(Duration.ofNanos(System.nanoTime() - startNanos)).isLessThan(Duration.ofSeconds(2));
  }

  private String exchange(String methodAndPath) {
    try {
      return relay.exchange(request(methodAndPath, ""));
    } catch (IOException broken) {
      throw new UncheckedIOException(broken);
    }
  }

  /** Reads until the relay closes the connection, and returns the last bytes of the response. */
  private String readToEnd(String methodAndPath) {
    try (Socket socket = relay.connect()) {
      ScriptedEndpoint.write(socket, request(methodAndPath, "Connection: close\r\n"));
      byte[] bytes = new byte[0x10000];
      String last = "";
      int count = socket.getInputStream().read(bytes);
      while (count >= 0) {
        last = new String(bytes, 0, count, ISO_8859_1);
        count = socket.getInputStream().read(bytes);
      }
      return last;
    } catch (IOException broken) {
      throw new UncheckedIOException(broken);
    }
  }

  private static String request(String methodAndPath, String fields) {
    return methodAndPath
        + " HTTP/1.1\r\nHost: desk.example\r\nKey: key-1\r\nCall-Id: c-1\r\n"
        + "Left-Ms: 3000\r\nContent-Length: 0\r\n"
        + fields
        + "\r\n";
  }

  private static ScriptedEndpoint.Script endless(String start, String piece) {
    byte[] bytes = piece.getBytes(ISO_8859_1);
    return (request, connection) -> {
      ScriptedEndpoint.write(connection, start);
      while (true) {
        connection.getOutputStream().write(bytes);
        LockSupport.parkNanos(PIECE_INTERVAL_NANOS);
      }
    };
  }
}
