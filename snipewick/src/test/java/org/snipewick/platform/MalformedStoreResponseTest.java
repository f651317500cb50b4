package org.snipewick.platform;

import static org.assertj.core.api.Assertions.assertThat;

import io.activej.eventloop.Eventloop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.snipewick.event.EventLog;
import org.snipewick.relay.ScriptedEndpoint;
import org.snipewick.store.EraTracker;
import org.snipewick.store.RowPage;
import org.snipewick.store.access.RowRange;
import org.snipewick.store.access.StoreResult;
import org.snipewick.transport.EventloopTimerService;
import org.snipewick.transport.HttpTransport;
import org.snipewick.transport.response.ResponseCase;
import org.snipewick.transport.response.ResponseCases;

/** Guards against rows that are read from malformed responses of the store. */
class MalformedStoreResponseTest {
  private static final Duration TIMEOUT = Duration.ofSeconds(5);
  private static final int MAX_BODY_BYTES = 1_000_000;
  private static final String ROWS = "{\"rows\":[],\"ver\":3}";

  private final Eventloop eventloop = EventloopTimerService.monotonicEventloop();

  @BeforeEach
  void start() {
    eventloop.keepAlive(true);
    Thread thread = new Thread(eventloop, "loop");
    thread.setDaemon(true);
    thread.start();
  }

  @AfterEach
  void stop() {
    eventloop.execute(eventloop::breakEventloop);
  }

  static Stream<ResponseCase> malformed() {
    return Stream.concat(ResponseCases.malformed().stream(), ResponseCases.truncated().stream());
  }

  static Stream<ResponseCase> sound() {
    return Stream.concat(
        ResponseCases.sound().stream(), ResponseCases.endingWithConnection().stream());
  }

  @ParameterizedTest
  @MethodSource("malformed")
  void shouldNotReadRowsWhenResponseIsMalformed(ResponseCase malformed) throws IOException {
    assertThat(rows(malformed)).isNotInstanceOf(StoreResult.Succeeded.class);
  }

  @ParameterizedTest
  @MethodSource("sound")
  void shouldReadRowsWhenResponseIsSound(ResponseCase sound) throws IOException {
    assertThat(rows(sound)).isInstanceOf(StoreResult.Succeeded.class);
  }

  private StoreResult<RowPage> rows(ResponseCase response) throws IOException {
    try (ScriptedEndpoint store =
        ScriptedEndpoint.start(ScriptedEndpoint.closing(response.response("", ROWS)))) {
      return StoreClient.of(
              eventloop,
              eventloop,
              HttpTransport.of(eventloop, TIMEOUT, MAX_BODY_BYTES),
              new InetSocketAddress("127.0.0.1", store.port()),
              TIMEOUT,
              EraTracker.of(EventloopTimerService.of(eventloop), EventLog.none()),
              () -> {})
          .rows(RowRange.of("table"))
          .orTimeout(10, TimeUnit.SECONDS)
          .join();
    }
  }
}
