package org.snipewick.platform;

import static java.nio.charset.StandardCharsets.UTF_8;
import static java.util.concurrent.TimeUnit.SECONDS;
import static org.assertj.core.api.Assertions.assertThat;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.Queue;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.snipewick.event.EventLog;
import org.snipewick.failure.FailureException;
import org.snipewick.failure.FailureType;
import org.snipewick.store.Row;
import org.snipewick.store.Write;
import org.snipewick.store.WriteResult;
import org.snipewick.store.access.StoreAccess;
import org.snipewick.store.access.StoreSettings;
import org.snipewick.time.SystemTimerService;

/** Tests access to a store that sends error statuses, malformed responses and delayed ones. */
final class StoreClientResponsesTest {
  private static final String APPLIED = "{\"ver\":5,\"now_ms\":7}";
  private static final String NO_ROWS = "{\"rows\":[],\"truncated\":false,\"ver\":5}";
  private static final String ONE_ROW =
      "{\"rows\":[{\"table\":\"snipewick\",\"part\":\"\",\"key\":\"row\",\"value\":\"dmFsdWU=\","
          + "\"ver\":5}],\"truncated\":false,\"ver\":6,\"now_ms\":7}";

  private final Queue<Response> responses = new ConcurrentLinkedQueue<>();
  private final AtomicInteger calls = new AtomicInteger();
  private final SystemTimerService timer = SystemTimerService.of("test-timer");
  private final ExecutorService executor = Executors.newCachedThreadPool();
  private HttpServer server;
  private StoreAccess store;

  /** Response that the server sends to one call; a held one is sent after its release. */
  private record Response(
      int status, String body, CountDownLatch requestArrived, CountDownLatch release) {

    Response(int status, String body) {
      this(status, body, new CountDownLatch(1), new CountDownLatch(0));
    }

    static Response held(int status, String body) {
      return new Response(status, body, new CountDownLatch(1), new CountDownLatch(1));
    }
  }

  @BeforeEach
  void start() throws IOException {
    server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 0);
    server.createContext("/", this::respond);
    server.setExecutor(executor);
    server.start();
    StoreSettings settings =
        StoreSettings.of("127.0.0.1", server.getAddress().getPort())
            .withTimeoutMillis(20_000)
            .withRetry(new StoreSettings.Retry(3, 1, 2, 1))
            .withCircuit(new StoreSettings.Circuit(100, 1_000));
    store =
        StoreAccess.of(PlatformStoreAdapter.of(), settings, timer, EventLog.none(), new Random(1));
  }

  @AfterEach
  void stop() {
    store.close();
    server.stop(0);
    executor.shutdownNow();
    timer.close();
  }

  private void respond(HttpExchange exchange) throws IOException {
    calls.incrementAndGet();
    Response response = responses.remove();
    response.requestArrived().countDown();
    waitFor(response.release());
    byte[] body = response.body().getBytes(UTF_8);
    exchange.getRequestBody().readAllBytes();
    exchange.sendResponseHeaders(response.status(), body.length == 0 ? -1 : body.length);
    try (OutputStream out = exchange.getResponseBody()) {
      out.write(body);
    }
  }

  private static void waitFor(CountDownLatch latch) {
    try {
      assertThat(latch.await(20, SECONDS)).isTrue();
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
  }

  private static <T> T await(CompletableFuture<T> future) {
    return future.orTimeout(20, SECONDS).join();
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      quoteCharacter = '~',
      value = {
        // statuses in order | body of the last | result    | calls
        "200         | " + APPLIED + " | Applied   | 1",
        "503 200     | " + APPLIED + " | Applied   | 2",
        "429 429 200 | " + APPLIED + " | Applied   | 3",
        "429 429 429 | x               | Rejected  | 3",
        "400         | x               | Rejected  | 1",
        "413         | x               | Rejected  | 1",
        "412         | " + ONE_ROW + " | Conflict  | 1",
        "412         | " + NO_ROWS + " | Rejected  | 1",
        "412         | x               | Ambiguous | 1",
        "500         | x               | Ambiguous | 1",
        "504         | x               | Ambiguous | 1",
        "200         | not JSON        | Ambiguous | 1",
        "200         | []              | Ambiguous | 1",
        "200         | {}              | Ambiguous | 1",
        "200         | {\"ver\":null}  | Ambiguous | 1",
        "200         | null            | Ambiguous | 1",
      })
  void shouldClassifyWriteWhenResponseIsUnusual(
      String statuses, String body, String result, int expectedCalls) {
    for (String status : statuses.split(" ", -1)) {
      responses.add(new Response(Integer.parseInt(status), body));
    }

    WriteResult actual = await(store.table().write(Write.insert("row", "value")));

    assertThat(actual.getClass().getSimpleName()).isEqualTo(result);
    assertThat(calls).hasValue(expectedCalls);
  }

  @ParameterizedTest
  @CsvSource({"503 200,2", "500 429 200,3"})
  void shouldRetryReadWhenResponseShowsFailure(String statuses, int expectedCalls) {
    for (String status : statuses.split(" ", -1)) {
      responses.add(new Response(Integer.parseInt(status), ONE_ROW));
    }

    assertThat(await(store.table().read("row"))).contains(new Row("row", 5, "value"));
    assertThat(calls).hasValue(expectedCalls);
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "not JSON",
        "null",
        "[null]",
        "{\"ver\":5}",
        "{\"rows\":[]}",
        "{\"rows\":[{\"key\":null}],\"ver\":5}",
        "{\"rows\":[null],\"ver\":5}"
      })
  void shouldFailWithPlatformUnavailableWhenResponseIsMalformed(String body) {
    responses.add(new Response(200, body));

    FailureType type =
        await(
            store
                .table()
                .scan("row")
                .handle((rows, thrown) -> FailureException.unwrap(thrown).type()));

    assertThat(type).isEqualTo(FailureType.PLATFORM_UNAVAILABLE);
  }

  @Test
  void shouldNotShareEarlierReadWhenWriteHasCompletedSince() {
    Response heldResponse = Response.held(200, NO_ROWS);
    responses.add(heldResponse);
    final CompletableFuture<List<Row>> earlierRead = store.table().scan("row");
    waitFor(heldResponse.requestArrived());
    responses.add(new Response(200, APPLIED));
    responses.add(new Response(200, ONE_ROW));

    await(store.table().write(Write.insert("row", "value")));

    assertThat(await(store.table().scan("row"))).hasSize(1);
    assertThat(earlierRead).isNotDone();
    heldResponse.release().countDown();
    assertThat(await(earlierRead)).isEmpty();
  }

  @ParameterizedTest
  @CsvSource({"200,false", "400,true"})
  void shouldSendReadWhenStartedByCompletionOfEqualRead(int status, boolean fails) {
    Response heldResponse = Response.held(status, NO_ROWS);
    responses.add(heldResponse);
    CompletableFuture<Boolean> first = new CompletableFuture<>();
    final CompletableFuture<Optional<Row>> second =
        store
            .table()
            .read("row")
            .handle((row, thrown) -> first.complete(thrown != null))
            .thenCompose(ended -> store.table().read("row"));
    waitFor(heldResponse.requestArrived());
    responses.add(new Response(200, ONE_ROW));

    heldResponse.release().countDown();

    assertThat(await(second)).isPresent();
    assertThat(first).isCompletedWithValue(fails);
    assertThat(calls).hasValue(2);
  }
}
