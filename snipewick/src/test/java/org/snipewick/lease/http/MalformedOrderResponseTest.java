package org.snipewick.lease.http;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.snipewick.endpoint.http.FakeEndpoint;
import org.snipewick.endpoint.http.TestEventLoop;
import org.snipewick.failure.Failure;
import org.snipewick.failure.FailureException;
import org.snipewick.failure.FailureType;
import org.snipewick.failure.Outcome;
import org.snipewick.lease.EndpointOrder;
import org.snipewick.lease.Lease;
import org.snipewick.relay.ScriptedEndpoint;
import org.snipewick.time.VirtualTimerService;
import org.snipewick.transport.response.ResponseCase;
import org.snipewick.transport.response.ResponseCases;

/** Guards against orders that count as done or as refused because of malformed responses. */
class MalformedOrderResponseTest {
  private static final EndpointOrder ORDER = EndpointOrder.of(EndpointOrder.Kind.LOAD, "model");
  private static final Duration LEASE_DURATION = Duration.ofSeconds(8);

  private static final String BODY = "{\"accepted\":true}";

  private final VirtualTimerService timer = VirtualTimerService.of(0);
  private final Lease lease =
      new Lease("orders.pool", 7, timer.nanoTime() + LEASE_DURATION.toNanos(), timer);
  private final TestEventLoop loop = TestEventLoop.start();

  @AfterEach
  void close() {
    loop.close();
  }

  static Stream<ResponseCase> sound() {
    return Stream.concat(
        ResponseCases.sound().stream(), ResponseCases.endingWithConnection().stream());
  }

  @ParameterizedTest
  @MethodSource("org.snipewick.transport.response.ResponseCases#malformed")
  void shouldReportUnknownOutcomeWhenResponseIsMalformed(ResponseCase malformed)
      throws IOException {
    assertThat(send(malformed.response("", BODY)).map(Failure::outcome)).contains(Outcome.UNKNOWN);
  }

  @ParameterizedTest
  @MethodSource("sound")
  void shouldSucceedWhenResponseIsSound(ResponseCase sound) throws IOException {
    assertThat(send(sound.response("", BODY))).isEmpty();
  }

  @Test
  void shouldReportStaleFencingNumberOnlyWhenHeadIsSound() throws IOException {
    String head = "HTTP/1.1 409 Stale\r\nContent-Length: 0\r\n";

    assertThat(send(head + "\r\n").map(Failure::type)).contains(FailureType.LEASE_NOT_HELD);
    assertThat(send(head + "Oth er: x\r\n\r\n").map(Failure::outcome)).contains(Outcome.UNKNOWN);
  }

  private Optional<Failure> send(String response) throws IOException {
    try (ScriptedEndpoint endpoint = ScriptedEndpoint.start(ScriptedEndpoint.closing(response))) {
      return HttpOrderSender.of(loop.eventloop())
          .send(FakeEndpoint.status("engine", endpoint.port()), ORDER, lease, Duration.ofSeconds(5))
          .handle((done, thrown) -> Optional.ofNullable(thrown).map(FailureException::unwrap))
          .orTimeout(10, TimeUnit.SECONDS)
          .join();
    }
  }
}
