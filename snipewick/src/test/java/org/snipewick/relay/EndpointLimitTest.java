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
import org.snipewick.fleet.EndpointLimit;
import org.snipewick.identity.EndpointId;
import org.snipewick.identity.FailureDomain;
import org.snipewick.identity.PoolName;
import org.snipewick.registry.RegisteredEndpoint;
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

  @Test
  void shouldReportChangeWhenLimitIsNamedChangedOrLifted() {
    EndpointLimits limits = new EndpointLimits();
    EndpointId endpoint = EndpointId.of("e");
    assertThat(limits.update(endpoint, OptionalDouble.empty(), 1)).isFalse();
    assertThat(limits.update(endpoint, OptionalDouble.of(4.6), 2)).isTrue();
    assertThat(limits.update(endpoint, OptionalDouble.of(4.6), 3)).isFalse();
    assertThat(limits.update(endpoint, OptionalDouble.of(2), 4)).isTrue();
    assertThat(limits.update(endpoint, OptionalDouble.empty(), 5)).isTrue();
    assertThat(limits.size()).isZero();
  }

  /** Guards against a limit that another instance has seen later or earlier than this one. */
  @Test
  void shouldFollowLatestResponseWhenOtherInstancesReportLimits() {
    EndpointLimits limits = new EndpointLimits();
    limits.retain(List.of(listed(1)));
    EndpointId endpoint = listed(1).id();
    long now = Duration.ofSeconds(60).toNanos();
    assertThat(limits.adopt(endpoint, new EndpointLimit(4, 800), now)).isTrue();
    assertThat(limits.reported(now)).isEmpty();
    assertThat(limits.adopt(endpoint, new EndpointLimit(9, 900), now)).isFalse();
    limits.update(endpoint, OptionalDouble.of(3), now);
    assertThat(limits.adopt(endpoint, new EndpointLimit(-1, 100), now)).isFalse();
    assertThat(limits.limit(endpoint)).hasValue(3);
    assertThat(limits.reported(now)).containsEntry(endpoint, new EndpointLimit(3, 0));
    long later = now + Duration.ofSeconds(6).toNanos();
    assertThat(limits.reported(later)).isEmpty();
    assertThat(limits.adopt(endpoint, new EndpointLimit(-1, 100), later)).isTrue();
    assertThat(limits.limit(endpoint)).isEmpty();
  }

  @Test
  void shouldEndLimitWhenEndpointStartsAgain() {
    EndpointLimits limits = new EndpointLimits();
    limits.retain(List.of(listed(1)));
    limits.update(listed(1).id(), OptionalDouble.of(3), 1);
    limits.retain(List.of(listed(1)));
    assertThat(limits.size()).isEqualTo(1);
    limits.retain(List.of(listed(2)));
    assertThat(limits.size()).isZero();
  }

  private static RegisteredEndpoint listed(long startedEpochMillis) {
    return new RegisteredEndpoint(
        EndpointId.of("e"),
        startedEpochMillis,
        PoolName.of("p"),
        FailureDomain.of("d"),
        "127.0.0.1",
        1,
        2,
        false);
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
