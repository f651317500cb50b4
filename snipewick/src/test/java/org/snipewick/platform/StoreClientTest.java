package org.snipewick.platform;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.assertj.core.api.Assertions.assertThat;

import com.sun.net.httpserver.HttpServer;
import io.activej.eventloop.Eventloop;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.snipewick.event.EventLog;
import org.snipewick.store.EraTracker;
import org.snipewick.store.RowPage;
import org.snipewick.store.access.RowRange;
import org.snipewick.store.access.StoreResult;
import org.snipewick.transport.EventloopTimerService;
import org.snipewick.transport.HttpTransport;

/** Tests that a {@link StoreClient} may be called before its event loop runs. */
class StoreClientTest {
  private static final Duration TIMEOUT = Duration.ofSeconds(2);
  private static final int MAX_BODY_BYTES = 1_000_000;

  private final Eventloop eventloop = EventloopTimerService.monotonicEventloop();
  private HttpServer server;
  private StoreClient client;

  @BeforeEach
  void start() throws IOException {
    server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
    server.createContext(
        "/",
        exchange -> {
          byte[] body = "{\"rows\":[],\"ver\":3}".getBytes(UTF_8);
          exchange.sendResponseHeaders(200, body.length);
          exchange.getResponseBody().write(body);
          exchange.close();
        });
    server.start();
    eventloop.keepAlive(true);
    client =
        StoreClient.of(
            eventloop,
            eventloop,
            HttpTransport.of(eventloop, TIMEOUT, MAX_BODY_BYTES),
            new InetSocketAddress("127.0.0.1", server.getAddress().getPort()),
            TIMEOUT,
            EraTracker.of(EventloopTimerService.of(eventloop), EventLog.none()),
            eventloop::breakEventloop);
  }

  @AfterEach
  void stop() {
    client.close();
    server.stop(0);
  }

  @Test
  void shouldCompleteWhenCalledBeforeEventLoopRuns() {
    final CompletableFuture<StoreResult<RowPage>> rows = client.rows(RowRange.of("table"));
    Thread thread = new Thread(eventloop, "loop");
    thread.setDaemon(true);
    thread.start();

    assertThat(rows.orTimeout(10, TimeUnit.SECONDS).join())
        .isInstanceOf(StoreResult.Succeeded.class);
  }
}
