package org.snipewick.lease.http;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.assertj.core.api.Assertions.assertThat;
import static org.junit.jupiter.params.provider.Arguments.arguments;

import com.sun.net.httpserver.HttpServer;
import io.activej.eventloop.Eventloop;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.snipewick.failure.Failure;
import org.snipewick.failure.FailureException;
import org.snipewick.failure.FailureType;
import org.snipewick.failure.Outcome;
import org.snipewick.identity.EndpointId;
import org.snipewick.identity.Tier;
import org.snipewick.lease.EndpointOrder;
import org.snipewick.lease.Lease;
import org.snipewick.pool.EndpointStatus;
import org.snipewick.time.TimerService;
import org.snipewick.time.VirtualTimerService;

class HttpOrderSenderTest {
  private static final EndpointOrder ORDER = EndpointOrder.of(EndpointOrder.Kind.LOAD, "model");
  private static final int NO_ANSWER = 0;

  private static final Duration LEASE_DURATION = Duration.ofSeconds(8);

  private final VirtualTimerService timer = VirtualTimerService.of(0);
  private final Lease lease =
      new Lease("orders.pool", 7, timer.nanoTime() + LEASE_DURATION.toNanos(), timer);
  private final Eventloop eventloop = Eventloop.create().withCurrentThread();
  private final AtomicReference<String> received = new AtomicReference<>("");
  private Thread thread;
  private HttpServer server;

  @BeforeEach
  void start() throws IOException {
    eventloop.keepAlive(true);
    thread = new Thread(eventloop, "orders");
    thread.start();
    server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
    server.start();
  }

  @AfterEach
  void stop() throws InterruptedException {
    server.stop(0);
    eventloop.execute(() -> eventloop.keepAlive(false));
    thread.join(5_000);
  }

  static Stream<Arguments> answers() {
    return Stream.of(
        arguments(409, FailureType.LEASE_NOT_HELD, Outcome.NOT_RUN),
        arguments(500, FailureType.NO_ENDPOINT, Outcome.UNKNOWN),
        arguments(NO_ANSWER, FailureType.NO_ENDPOINT, Outcome.UNKNOWN));
  }

  @ParameterizedTest(name = "status {0}")
  @MethodSource("answers")
  void shouldFailWithTypeAndOutcomeWhenEndpointDoesNotAccept(
      int status, FailureType type, Outcome outcome) throws Exception {
    answer(status);
    Failure failure = failureOf(send(server.getAddress().getPort()));
    assertThat(failure.type()).isEqualTo(type);
    assertThat(failure.outcome()).isEqualTo(outcome);
  }

  @Test
  void shouldSendOrderWithFencingNumberWhenAccepted() throws Exception {
    answer(200);
    send(server.getAddress().getPort()).get(5, TimeUnit.SECONDS);
    assertThat(received.get())
        .isEqualTo("{\"fencing\":7,\"order\":\"load\",\"argument\":\"model\"}");
  }

  @Test
  void shouldFailAsNotRunWhenNothingListens() throws Exception {
    int port = server.getAddress().getPort();
    server.stop(0);
    assertThat(failureOf(send(port)).outcome()).isEqualTo(Outcome.NOT_RUN);
  }

  @Test
  void shouldSendNothingWhenLeaseExpiresBeforeOrderIsSent() throws Exception {
    answer(200);
    CompletableFuture<Void> resumed = new CompletableFuture<>();
    eventloop.execute(resumed::join);
    CompletableFuture<Void> order = send(server.getAddress().getPort());
    timer.advance(LEASE_DURATION);
    resumed.complete(null);
    Failure failure = failureOf(order);
    assertThat(failure.type()).isEqualTo(FailureType.LEASE_NOT_HELD);
    assertThat(failure.outcome()).isEqualTo(Outcome.NOT_RUN);
    assertThat(received.get()).isEmpty();
  }

  @Test
  void shouldNotSendLastByteWhenLeaseExpiresDuringWrite() throws Exception {
    answer(200);
    Lease expiring =
        new Lease("orders.pool", 7, LEASE_DURATION.toNanos(), new JumpingClock(1, LEASE_DURATION));
    Failure failure = failureOf(send(server.getAddress().getPort(), expiring));
    assertThat(failure.type()).isEqualTo(FailureType.LEASE_NOT_HELD);
    assertThat(failure.outcome()).isEqualTo(Outcome.NOT_RUN);
    assertThat(received.get()).isEmpty();
  }

  private void answer(int status) {
    server.createContext(
        "/orders",
        exchange -> {
          received.set(new String(exchange.getRequestBody().readAllBytes(), UTF_8));
          if (status != NO_ANSWER) {
            exchange.sendResponseHeaders(status, -1);
            exchange.close();
          }
        });
  }

  private CompletableFuture<Void> send(int port) {
    return send(port, lease);
  }

  private CompletableFuture<Void> send(int port, Lease held) {
    EndpointStatus endpoint =
        new EndpointStatus(
            EndpointId.of("e.1"),
            "127.0.0.1",
            port,
            EndpointStatus.State.LIVE,
            Tier.ONE,
            1,
            0,
            -1,
            -1,
            -1,
            0);
    return HttpOrderSender.of(eventloop).send(endpoint, ORDER, held, Duration.ofMillis(500));
  }

  private static Failure failureOf(CompletableFuture<Void> order) throws Exception {
    return order.handle((done, thrown) -> FailureException.unwrap(thrown)).get(5, TimeUnit.SECONDS);
  }

  /** Clock that returns 0 for a number of reads, and the duration of a pause afterwards. */
  private static final class JumpingClock implements TimerService {
    private final AtomicInteger readsBeforePause;
    private final Duration pause;

    JumpingClock(int readsBeforePause, Duration pause) {
      this.readsBeforePause = new AtomicInteger(readsBeforePause);
      this.pause = pause;
    }

    @Override
    public long nanoTime() {
      return readsBeforePause.getAndDecrement() > 0 ? 0 : pause.toNanos();
    }

    @Override
    public long epochMillis() {
      throw new UnsupportedOperationException("leases use only the monotonic clock");
    }

    @Override
    public Subscription after(Duration delay, Runnable task) {
      throw new UnsupportedOperationException("leases set no timers");
    }

    @Override
    public Subscription every(Duration period, Runnable task) {
      throw new UnsupportedOperationException("leases set no timers");
    }
  }
}
