package org.snipewick.relay;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.snipewick.event.EventType;
import org.snipewick.route.CallKind;
import org.snipewick.route.Plans;
import org.snipewick.route.RoutingPlan;

/** Tests second attempts of slow calls; guards against two responses, leaks and wrong retries. */
class HedgesTest {
  private static final int LEARNED_RESPONSES = 60;
  private static final String SLOW_MARK = "slow-one";
  private static final String CHUNKED =
      "HTTP/1.1 200 OK\r\nSignature: s\r\nTransfer-Encoding: chunked\r\n\r\n";
  private static final String MALFORMED =
      "HTTP/1.1 200 OK\r\nSignature: s\r\nOth er: x\r\nContent-Length: 3\r\n\r\nbad";
  private static final String EVENT = "7\r\nid: 1\n\n\r\n0\r\n\r\n";

  private final RoutingPlan plan =
      Plans.plan(
          1,
          Plans.route("safe", "/safe/"),
          Plans.route("unsafe", "/unsafe/", CallKind.UNSAFE, 1, false),
          Plans.route("stream", "/stream/", CallKind.STREAM, 2, true));
  private final List<EventType> events = new CopyOnWriteArrayList<>();
  private final AtomicInteger slowRequests = new AtomicInteger();
  private RelayFixture relay =
      new RelayFixture(plan, (type, subject, details) -> events.add(type), 0.5);

  @AfterEach
  void close() {
    relay.close();
  }

  /** Answers at once, but hands the first request with the mark to a script. */
  private ScriptedEndpoint endpoint(ScriptedEndpoint.Script slow) {
    return ScriptedEndpoint.start(
        (request, connection) -> {
          if (request.contains(SLOW_MARK) && slowRequests.getAndIncrement() == 0) {
            slow.respond(request, connection);
          } else if (request.contains("/stream/")) {
            ScriptedEndpoint.write(connection, CHUNKED + EVENT);
            connection.close();
          } else {
            ScriptedEndpoint.write(connection, signed("quick"));
            connection.close();
          }
        });
  }

  private static String signed(String body) {
    return "HTTP/1.1 200 OK\r\nSignature: s\r\nContent-Length: "
        + body.length()
        + "\r\n\r\n"
        + body;
  }

  private static ScriptedEndpoint.Script silent() {
    return (request, connection) -> {};
  }

  private String exchange(String path) throws IOException {
    return relay.exchange(
        "GET " + path + " HTTP/1.1\r\nHost: desk.example\r\nKey: key-1\r\nCall-Id: c-1\r\n\r\n");
  }

  private List<ScriptedEndpoint> startAndLearn(String pool, ScriptedEndpoint.Script slow)
      throws IOException {
    List<ScriptedEndpoint> endpoints = List.of(endpoint(slow), endpoint(slow));
    relay.setEndpoints(pool, endpoints.get(0), endpoints.get(1));
    for (int response = 0; response < LEARNED_RESPONSES; response++) {
      assertThat(exchange("/" + pool + "/")).startsWith("HTTP/1.1 200");
    }
    // Hedges of the requests above are not those of the test.
    events.clear();
    return endpoints;
  }

  private static void awaitRequests(AtomicInteger requests, int expected) {
    long endNanos = System.nanoTime() + Duration.ofSeconds(4).toNanos();
    while (requests.get() < expected && System.nanoTime() < endNanos) {
      LockSupport.parkNanos(5_000_000);
    }
  }

  private static void await(CountDownLatch latch) {
    try {
      assertThat(latch.await(4, TimeUnit.SECONDS)).isTrue();
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
  }

  private void awaitNothingInFlight() {
    long endNanos = System.nanoTime() + Duration.ofSeconds(5).toNanos();
    while (!relay.inFlight().isEmpty()) {
      assertThat(System.nanoTime()).isLessThan(endNanos);
      LockSupport.parkNanos(10_000_000);
    }
  }

  @Test
  void shouldUseResponseOfHedgeAndCancelFirstAttemptWhenItIsSilent() throws IOException {
    final List<ScriptedEndpoint> endpoints = startAndLearn("safe", silent());

    assertThat(exchange("/safe/" + SLOW_MARK)).startsWith("HTTP/1.1 200").endsWith("quick");
    assertThat(events)
        .contains(EventType.HEDGE_SENT, EventType.HEDGE_WON)
        .doesNotContain(EventType.REQUEST_REPEATED, EventType.RESPONSE_BROKEN);
    awaitNothingInFlight();
    awaitEnding(endpoints);
    assertThat(endpoints.stream().flatMap(each -> each.endings().stream()))
        .containsOnlyOnce("closed");
  }

  /** Waits until an endpoint has noticed that its connection was closed, on its own thread. */
  private static void awaitEnding(List<ScriptedEndpoint> endpoints) {
    long endNanos = System.nanoTime() + Duration.ofSeconds(4).toNanos();
    while (endpoints.stream().allMatch(each -> each.endings().isEmpty())
        && System.nanoTime() < endNanos) {
      LockSupport.parkNanos(5_000_000);
    }
  }

  @ParameterizedTest
  @ValueSource(strings = {"", CHUNKED})
  void shouldUseStreamOfHedgeWhenFirstStreamHasNoEvent(String head) throws IOException {
    startAndLearn("stream", (request, connection) -> ScriptedEndpoint.write(connection, head));

    assertThat(exchange("/stream/" + SLOW_MARK)).contains("id: 1").endsWith("0\r\n\r\n");
    assertThat(events).contains(EventType.HEDGE_WON).doesNotContain(EventType.STREAM_RESUMED);
    awaitNothingInFlight();
  }

  @Test
  void shouldNotHedgeStreamWhenItsFirstEventHasArrived() throws IOException {
    startAndLearn(
        "stream",
        (request, connection) -> {
          ScriptedEndpoint.write(connection, CHUNKED + "7\r\nid: 1\n\n\r\n");
          LockSupport.parkNanos(Duration.ofMillis(700).toNanos());
          ScriptedEndpoint.write(connection, "7\r\nid: 2\n\n\r\n0\r\n\r\n");
          connection.close();
        });

    assertThat(exchange("/stream/" + SLOW_MARK)).contains("id: 1").contains("id: 2");
    assertThat(slowRequests).hasValue(1);
  }

  @ParameterizedTest
  @ValueSource(
      strings = {"", "HTTP/1.1 500 Broken\r\nSignature: s\r\nContent-Length: 0\r\n\r\n", MALFORMED})
  void shouldLeaveCallToHedgeWhenFirstAttemptFailsLater(String response) throws IOException {
    CountDownLatch firstFails = new CountDownLatch(1);
    AtomicInteger marked = new AtomicInteger();
    ScriptedEndpoint.Script script =
        (request, connection) -> {
          boolean isFirst = request.contains(SLOW_MARK) && marked.getAndIncrement() == 0;
          boolean isHedge = request.contains(SLOW_MARK) && !isFirst;
          if (isFirst) {
            awaitRequests(marked, 2);
            firstFails.countDown();
          } else if (isHedge) {
            await(firstFails);
            LockSupport.parkNanos(Duration.ofMillis(100).toNanos());
          }
          ScriptedEndpoint.write(connection, isFirst ? response : signed("sound"));
          connection.close();
        };
    ScriptedEndpoint first = ScriptedEndpoint.start(script);
    ScriptedEndpoint second = ScriptedEndpoint.start(script);
    relay.setEndpoints("safe", first, second);
    for (int index = 0; index < LEARNED_RESPONSES; index++) {
      exchange("/safe/");
    }
    events.clear();

    assertThat(exchange("/safe/" + SLOW_MARK)).startsWith("HTTP/1.1 200").endsWith("sound");
    assertThat(events).contains(EventType.HEDGE_SENT).doesNotContain(EventType.REQUEST_REPEATED);
    assertThat(marked).hasValue(2);
    awaitNothingInFlight();
  }

  @ParameterizedTest
  @ValueSource(strings = {"", MALFORMED})
  void shouldKeepFirstResponseWhenHedgeFails(String response) throws IOException {
    AtomicInteger marked = new AtomicInteger();
    ScriptedEndpoint.Script script =
        (request, connection) -> {
          boolean isFirst = request.contains(SLOW_MARK) && marked.getAndIncrement() == 0;
          if (isFirst) {
            awaitRequests(marked, 2);
            LockSupport.parkNanos(Duration.ofMillis(100).toNanos());
          }
          boolean isHedge = !isFirst && request.contains(SLOW_MARK);
          ScriptedEndpoint.write(
              connection, isHedge ? response : signed(isFirst ? "first" : "quick"));
          connection.close();
        };
    relay.setEndpoints("safe", ScriptedEndpoint.start(script), ScriptedEndpoint.start(script));
    for (int index = 0; index < LEARNED_RESPONSES; index++) {
      exchange("/safe/");
    }
    events.clear();

    assertThat(exchange("/safe/" + SLOW_MARK)).startsWith("HTTP/1.1 200").endsWith("first");
    assertThat(events)
        .contains(EventType.HEDGE_SENT, EventType.HEDGE_LOST)
        .doesNotContain(EventType.REQUEST_REPEATED);
    awaitNothingInFlight();
  }

  @Test
  void shouldSendNothingTwiceWhenRequestMayNotBeRepeated() throws IOException {
    startAndLearn("unsafe", delayed());

    assertThat(exchange("/unsafe/" + SLOW_MARK)).endsWith("late");
    assertThat(slowRequests).hasValue(1);
  }

  @Test
  void shouldSendNothingTwiceWhenHedgesAreOff() throws IOException {
    relay.close();
    relay = new RelayFixture(plan, (type, subject, details) -> events.add(type));
    startAndLearn("safe", delayed());

    assertThat(exchange("/safe/" + SLOW_MARK)).endsWith("late");
    assertThat(slowRequests).hasValue(1);
    assertThat(events).doesNotContain(EventType.HEDGE_SENT);
  }

  private static ScriptedEndpoint.Script delayed() {
    return (request, connection) -> {
      LockSupport.parkNanos(Duration.ofMillis(700).toNanos());
      ScriptedEndpoint.write(connection, signed("late"));
      connection.close();
    };
  }
}
