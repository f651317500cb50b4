package org.snipewick.systemtests.platform;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.http.HttpResponse;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.snipewick.bench.cluster.ChildProcess;
import org.snipewick.bench.cluster.FrontInstance;
import org.snipewick.systemtests.CallerCrowd;
import org.snipewick.systemtests.UnfinishedCallersCases;

/** Tests a front process with lowered limits. */
@Tag("alone")
class UnfinishedCallersTest extends UnfinishedCallersCases {
  private static final int HEAP_MEGABYTES = 48;
  private static final int MAX_DESCRIPTORS = 160;

  /** Heap, metaspace, code and stacks; the idle process has about 80 MB. */
  private static final long MAX_RESIDENT_BYTES = 180_000_000;

  /** Leaves descriptors for connections to endpoints and the store. */
  private static final long MAX_OPEN_DESCRIPTORS = MAX_DESCRIPTORS - 10;

  private static final int LARGE_CHUNK_BYTES = 60_000;
  private static final int CONNECTIONS = 200;
  private static final int LARGE_RESPONSE_BYTES = 4_000_000;
  private static final int UNREAD_RESPONSES = 40;

  private final ExecutorService executor = Executors.newCachedThreadPool();
  private HttpServer endpoint;
  private FrontInstance front;
  private CallerCrowd crowd;

  UnfinishedCallersTest() {
    super(new Bounds(LARGE_CHUNK_BYTES, CONNECTIONS, MAX_RESIDENT_BYTES, MAX_OPEN_DESCRIPTORS));
  }

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
    crowd = new CallerCrowd(front.callers(), "POST /open/a");
  }

  @AfterEach
  void stop() throws IOException {
    crowd.close();
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
    boolean isLarge = exchange.getRequestURI().getPath().endsWith("/large");
    byte[] body = isLarge ? new byte[LARGE_RESPONSE_BYTES] : "answer".getBytes(UTF_8);
    exchange.sendResponseHeaders(200, body.length);
    exchange.getResponseBody().write(body);
    exchange.close();
  }

  @Test
  void shouldServeOthersWhenLargeResponsesAreNotRead() throws IOException {
    try (CallerCrowd readers = new CallerCrowd(front.callers(), "POST /open/large")) {
      for (int count = 0; count < UNREAD_RESPONSES; count++) {
        readers.send(1, readers.wholeRequest());
        checkThatOthersAreServedInTheEnd();
      }
    }
  }

  @Override
  protected CallerCrowd crowd() {
    return crowd;
  }

  @Override
  protected ChildProcess process() {
    return front.process();
  }

  @Override
  protected CompletableFuture<HttpResponse<String>> sendOrdinary(String id) {
    return front.sendPost("/open/a", "ordinary body", Map.of("Request-Id", id));
  }
}
