package org.snipewick.relay;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.snipewick.event.EventLog;
import org.snipewick.event.EventType;
import org.snipewick.route.CallKind;
import org.snipewick.route.Plans;

/**
 * Guards against calls without an answer, and slots that are never free again, after an exception
 * or error that nothing expects. It is thrown by the event log, which is called at each step of a
 * call.
 */
class DefectTest {
  private static final int MAX_STEPS = 12;
  private static final String SOUND =
      "HTTP/1.1 200 OK\r\nSignature: s\r\nContent-Length: 5\r\n\r\nsound";
  private static final String STREAM =
      "HTTP/1.1 200 OK\r\nSignature: s\r\nTransfer-Encoding: chunked\r\n\r\n7\r\nid: 1\n\n\r\n";

  static Stream<Arguments> cases() {
    return Stream.of("safe", "unsafe", "stream", "resumable")
        .flatMap(
            pool ->
                Stream.of(
                        SOUND,
                        STREAM + "0\r\n\r\n",
                        STREAM,
                        "HTTP/1.1 500 Broken\r\nContent-Length: 0\r\n\r\n",
                        "HTTP/1.1 503 Full\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n",
                        "HTTP/1.1 2")
                    .map(bytes -> Arguments.of(pool, bytes)));
  }

  @ParameterizedTest
  @MethodSource("cases")
  void shouldEndCallAndFreeItsSlotWhenAnyStepThrows(String pool, String bytes) throws IOException {
    for (Error defect : List.of(new OutOfMemoryError("test"), new AssertionError("test"))) {
      for (int step = 1; step <= MAX_STEPS; step++) {
        ThrowingLog log = new ThrowingLog(step, defect);
        try (RelayFixture relay = new RelayFixture(plan(), log)) {
          ScriptedEndpoint failing = ScriptedEndpoint.start(ScriptedEndpoint.closing(bytes));
          relay.setEndpoints(
              pool, failing, ScriptedEndpoint.start(ScriptedEndpoint.closing(bytes)));
          assertThat(relay.exchange(request(pool))).doesNotContain("<silent>").isNotEmpty();
          assertThat(relay.inFlight()).isEmpty();
          relay.awaitNoKeptBytes();
          relay.setEndpoints("sound", ScriptedEndpoint.start(ScriptedEndpoint.closing(SOUND)));
          log.stop();
          assertThat(relay.exchange(request("sound"))).endsWith("sound");
        }
        if (!log.hasThrown()) {
          break;
        }
      }
    }
  }

  private static org.snipewick.route.RoutingPlan plan() {
    return Plans.plan(
        1,
        Plans.route("safe", "/safe/"),
        Plans.route("sound", "/sound/"),
        Plans.route("unsafe", "/unsafe/", CallKind.UNSAFE, 2, false),
        Plans.route("stream", "/stream/", CallKind.STREAM, 2, false),
        Plans.route("resumable", "/resumable/", CallKind.STREAM, 2, true));
  }

  private static String request(String pool) {
    return "POST /"
        + pool
        + "/ HTTP/1.1\r\nHost: desk.example\r\nKey: key-1\r\nCall-Id: c-1\r\nLeft-Ms: 2000\r\n"
        + "Content-Length: 0\r\n\r\n";
  }

  /** Log that throws once, at an event of a given number. */
  private static final class ThrowingLog implements EventLog {
    private final AtomicInteger eventsLeft;
    private final Error defect;
    private volatile boolean hasThrown;

    ThrowingLog(int event, Error defect) {
      this.eventsLeft = new AtomicInteger(event);
      this.defect = defect;
    }

    @Override
    public void record(EventType type, String subject, Map<String, Object> details) {
      if (subject.equals("c-1") && eventsLeft.decrementAndGet() == 0) {
        hasThrown = true;
        throw defect;
      }
    }

    boolean hasThrown() {
      return hasThrown;
    }

    void stop() {
      eventsLeft.set(0);
    }
  }
}
