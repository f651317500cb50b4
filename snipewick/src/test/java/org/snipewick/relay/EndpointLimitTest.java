package org.snipewick.relay;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.concurrent.CopyOnWriteArrayList;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.snipewick.route.CallKind;
import org.snipewick.route.Plans;

class EndpointLimitTest {
  private static final String REQUEST =
      "GET /safe/ HTTP/1.1\r\nHost: desk.example\r\nKey: key-1\r\nCall-Id: %s\r\n\r\n";
  private static final double REQUESTS_PER_SECOND = 2;
  private static final long GRACE_NANOS = Duration.ofSeconds(3).toNanos();
  private static final long WINDOW_NANOS = Duration.ofSeconds(4).toNanos();

  /** Requests that may arrive in a window: one and a half times the limit, and five. */
  private static final double BOUND = 1.5 * 4 * REQUESTS_PER_SECOND + 5;

  private static final int REQUESTS = 300;
  private static final Duration PAUSE = Duration.ofMillis(30);

  private final RelayFixture relay =
      new RelayFixture(Plans.plan(1, Plans.route("safe", "/safe/", CallKind.SAFE, 2, false)));

  @AfterEach
  void close() {
    relay.close();
  }

  /** Guards against requests to an endpoint beyond the rate that it has named. */
  @Test
  void shouldSendNoMoreThanEndpointTakesWhenItNamesItsLimit() throws Exception {
    List<Long> arrivals = new CopyOnWriteArrayList<>();
    ScriptedEndpoint capped =
        ScriptedEndpoint.start(
            (request, connection) -> {
              arrivals.add(System.nanoTime());
              ScriptedEndpoint.write(
                  connection, response("Limit: " + REQUESTS_PER_SECOND + "\r\n"));
              connection.close();
            });
    ScriptedEndpoint sound = ScriptedEndpoint.start(ScriptedEndpoint.closing(response("")));
    relay.setEndpoints("safe", capped, sound);
    int served = 0;
    for (int number = 0; number < REQUESTS; number++) {
      served += exchange(number).startsWith("HTTP/1.1 200") ? 1 : 0;
      Thread.sleep(PAUSE.toMillis());
    }
    assertThat(served).isGreaterThan((int) (0.95 * REQUESTS));
    assertThat(maxInWindow(arrivals)).isLessThanOrEqualTo(BOUND);
  }

  @ParameterizedTest
  @CsvSource({"4.6, 4.6", "0.2, 0.2", "5, 5", "-1, ", "NaN, ", "1e3, ", "'', ", "x, "})
  void shouldReadLimitWhenItIsDecimalNumber(String text, Double expected) {
    Headers headers = Headers.of(List.of(Map.entry("Limit", text)));
    assertThat(new EndpointResponseHead(200, headers).requestLimit(RelayFixture.NAMES))
        .isEqualTo(expected == null ? OptionalDouble.empty() : OptionalDouble.of(expected));
  }

  private String exchange(int number) throws IOException {
    return relay.exchange(REQUEST.formatted("r" + number));
  }

  private static String response(String header) {
    return "HTTP/1.1 200 OK\r\nSignature: s\r\n" + header + "Content-Length: 2\r\n\r\nok";
  }

  private static double maxInWindow(List<Long> arrivals) {
    List<Long> counted = new ArrayList<>(arrivals);
    counted.removeIf(arrival -> arrival - arrivals.get(0) < GRACE_NANOS);
    int max = 0;
    for (long start : counted) {
      int count = 0;
      for (long arrival : counted) {
        count += arrival >= start && arrival - start <= WINDOW_NANOS ? 1 : 0;
      }
      max = Math.max(max, count);
    }
    return max;
  }
}
