package org.snipewick.systemtests.platform;

import static java.nio.charset.StandardCharsets.US_ASCII;
import static java.nio.charset.StandardCharsets.UTF_8;
import static org.assertj.core.api.Assertions.assertThat;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.locks.LockSupport;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.snipewick.bench.cluster.FrontInstance;

/**
 * Tests a front process with lowered limits while a crowd of callers does not finish its requests.
 * Guards against a process that ends, exceeds its memory or its descriptors, or serves no others.
 */
@Tag("alone")
class UnfinishedCallersTest {
  private static final int HEAP_MEGABYTES = 48;
  private static final int MAX_DESCRIPTORS = 160;

  /** Heap, metaspace, code and stacks; the idle process has about 80 MB. */
  private static final long MAX_RESIDENT_BYTES = 180_000_000;

  /** Leaves descriptors for connections to endpoints and the store. */
  private static final long MAX_OPEN_DESCRIPTORS = MAX_DESCRIPTORS - 10;

  /** Time after which the crowd is complete even if the front does not read what it sends. */
  private static final long CROWD_SENDING_NANOS = 20_000_000_000L;

  private static final int HEADS = 40;
  private static final int HEAD_BYTES = 400_000;
  private static final int EMPTY_LINE_CALLERS = 10;
  private static final int EMPTY_LINE_BYTES = 2_000_000;
  private static final int BODIES = 200;
  private static final int TINY_CHUNKS = 20_000;
  private static final int LARGE_CHUNK_BYTES = 60_000;

  private final ExecutorService executor = Executors.newCachedThreadPool();
  private final List<SocketChannel> crowd = new ArrayList<>();
  private HttpServer endpoint;
  private FrontInstance front;

  @BeforeEach
  void start() throws IOException {
    endpoint = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
    endpoint.createContext("/", UnfinishedCallersTest::respond);
    endpoint.setExecutor(executor);
    endpoint.start();
    front = FrontInstance.startWithLimits(HEAP_MEGABYTES, MAX_DESCRIPTORS);
    front.putRow(
        "op",
        "config",
        "{\"version\":1,\"routes\":[{\"name\":\"public\",\"host\":\"127.0.0.1\","
            + "\"prefix\":\"/open/\",\"kind\":\"safe\",\"timeout_ms\":50000,"
            + "\"target_latency_ms\":300,\"priority\":0,\"service\":\"orders\","
            + "\"max_attempts\":1,\"public\":true}],\"services\":[{\"name\":\"orders\"}],"
            + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
            + "\"header_timeout_ms\":60000,\"idle_timeout_ms\":60000},\"tenants\":[]}");
    front.putRow(
        "servers",
        "endpoint-1",
        ("{\"service\":\"orders\",\"address\":\"127.0.0.1:%d\",\"zone\":\"a\",\"slots\":4,"
                + "\"state\":\"ready\",\"born\":1}")
            .formatted(endpoint.getAddress().getPort()));
    front.awaitReady();
  }

  @AfterEach
  void stop() throws IOException {
    for (SocketChannel caller : crowd) {
      caller.close();
    }
    front.close();
    endpoint.stop(0);
    executor.shutdownNow();
  }

  private static void respond(HttpExchange exchange) throws IOException {
    exchange.getRequestBody().readAllBytes();
    exchange
        .getResponseHeaders()
        .add("Request-Id", exchange.getRequestHeaders().getFirst("Request-Id"));
    exchange.getResponseHeaders().add("Server-Stamp", "stamp");
    byte[] body = "answer".getBytes(UTF_8);
    exchange.sendResponseHeaders(200, body.length);
    exchange.getResponseBody().write(body);
    exchange.close();
  }

  private static String endlessHead() {
    return "GET /open/a HTTP/1.1\r\nHost: 127.0.0.1\r\n"
        + ("X-Filler: " + "x".repeat(988) + "\r\n").repeat(HEAD_BYTES / 1_000);
  }

  private static String emptyLines() {
    return "\r\n".repeat(EMPTY_LINE_BYTES / 2);
  }

  private static String bodyInTinyChunks() {
    return chunkedHead() + "1\r\nx\r\n".repeat(TINY_CHUNKS);
  }

  private static String bodyInLargeChunk() {
    return chunkedHead()
        + Integer.toHexString(LARGE_CHUNK_BYTES + 1)
        + "\r\n"
        + "x".repeat(LARGE_CHUNK_BYTES);
  }

  private static String chunkedHead() {
    return "POST /open/a HTTP/1.1\r\nHost: 127.0.0.1\r\nRequest-Id: crowd\r\n"
        + "Transfer-Encoding: chunked\r\n\r\n";
  }

  /** Opens a connection for each text, sends the texts as far as the front reads, and stops. */
  private void sendCrowd(List<String> texts) throws IOException {
    List<ByteBuffer> unsent = new ArrayList<>();
    for (String text : texts) {
      SocketChannel caller = SocketChannel.open(front.callers());
      caller.configureBlocking(false);
      crowd.add(caller);
      unsent.add(ByteBuffer.wrap(text.getBytes(US_ASCII)));
    }
    long endNanos = System.nanoTime() + CROWD_SENDING_NANOS;
    while (unsent.stream().anyMatch(ByteBuffer::hasRemaining) && System.nanoTime() < endNanos) {
      for (int index = 0; index < unsent.size(); index++) {
        sendSome(crowd.get(index), unsent.get(index));
      }
      LockSupport.parkNanos(5_000_000);
    }
  }

  private static void sendSome(SocketChannel caller, ByteBuffer unsent) {
    try {
      caller.write(unsent);
    } catch (IOException closedByFront) {
      unsent.position(unsent.limit());
    }
  }

  private static List<String> repeat(int count, String text) {
    return IntStream.range(0, count).mapToObj(index -> text).toList();
  }

  private void checkThatOthersAreServed() {
    assertThat(front.process().isAlive()).isTrue();
    Map<String, String> headers = Map.of("Request-Id", "ordinary");
    assertThat(front.sendPost("/open/a", "ordinary body", headers).join().statusCode())
        .isEqualTo(200);
    assertThat(front.process().isAlive()).isTrue();
    assertThat(front.process().peakResidentBytes()).isLessThan(MAX_RESIDENT_BYTES);
    assertThat(front.process().openDescriptors()).isLessThan(MAX_OPEN_DESCRIPTORS);
    assertThat(front.process().log()).doesNotContain("OutOfMemoryError");
  }

  @Test
  void shouldServeOthersWhenHeadsDoNotEnd() throws IOException {
    sendCrowd(repeat(HEADS, endlessHead()));

    checkThatOthersAreServed();
  }

  @Test
  void shouldServeOthersWhenEmptyLinesDoNotEnd() throws IOException {
    sendCrowd(repeat(EMPTY_LINE_CALLERS, emptyLines()));

    checkThatOthersAreServed();
  }

  @Test
  void shouldServeOthersWhenBodiesInTinyChunksStopJustShort() throws IOException {
    sendCrowd(repeat(BODIES, bodyInTinyChunks()));

    checkThatOthersAreServed();
  }

  @Test
  void shouldServeOthersWhenBodiesInLargeChunksStopJustShort() throws IOException {
    sendCrowd(repeat(BODIES, bodyInLargeChunk()));

    checkThatOthersAreServed();
  }

  @Test
  void shouldServeOthersWhenCrowdIsMixed() throws IOException {
    List<String> texts = new ArrayList<>(repeat(HEADS / 2, endlessHead()));
    texts.addAll(repeat(EMPTY_LINE_CALLERS / 2, emptyLines()));
    texts.addAll(repeat(BODIES / 2, bodyInTinyChunks()));
    texts.addAll(repeat(BODIES / 2, bodyInLargeChunk()));
    sendCrowd(texts);

    checkThatOthersAreServed();
  }
}
