package org.snipewick.lease;

import static org.assertj.core.api.Assertions.assertThat;
import static org.junit.jupiter.params.provider.Arguments.arguments;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.snipewick.event.EventLog;
import org.snipewick.failure.FailureException;
import org.snipewick.failure.FailureType;
import org.snipewick.identity.EndpointId;
import org.snipewick.identity.InstanceId;
import org.snipewick.pool.EndpointStatus;
import org.snipewick.store.InMemoryTable;
import org.snipewick.store.InMemoryTable.Fault;
import org.snipewick.time.ProcessTimer;
import org.snipewick.time.VirtualTimerService;

class LeaseFaultsTest {
  private static final LeaseSettings SETTINGS = LeaseSettings.defaults();
  private static final EndpointStatus ENDPOINT = EndpointStatus.unreachable(EndpointId.of("e.1"));
  private static final EndpointOrder ORDER = EndpointOrder.of(EndpointOrder.Kind.LOAD, "model");

  private final VirtualTimerService clock = VirtualTimerService.of(1_800_000_000_000L);
  private final InMemoryTable table = new InMemoryTable();
  private final ProcessTimer holderProcess = new ProcessTimer(clock);
  private final ProcessTimer waiterProcess = new ProcessTimer(clock);

  /** Whether the endpoint checks fencing numbers, and for how many seconds the holder is paused. */
  static Stream<Arguments> pauses() {
    return Stream.of(true, false)
        .flatMap(
            checksFencing ->
                Stream.of(1, 7, 9, 12, 20, 60).map(pause -> arguments(checksFencing, pause)));
  }

  @ParameterizedTest(name = "endpoint checks fencing: {0}, pause of {1} s")
  @MethodSource("pauses")
  void shouldAcceptOrdersInOrderOfFencingNumbersWhenHolderIsPaused(
      boolean checksFencing, int pauseSeconds) {
    FakeOrderEndpoint endpoint = new FakeOrderEndpoint(clock, checksFencing);
    endpoint.delay = SETTINGS.maxOrderDuration();
    OrderController holder = orders("a.1", holderProcess, endpoint);
    OrderController waiter = orders("a.2", waiterProcess, endpoint);
    holder.acquire("pool");
    waiter.acquire("pool");
    clock.advance(Duration.ofSeconds(4));
    assertThat(holder.send("pool", ENDPOINT, ORDER)).isNotCompletedExceptionally();
    holderProcess.pause();
    for (int second = 0; second < pauseSeconds; second++) {
      clock.advance(Duration.ofSeconds(1));
      var unused = waiter.send("pool", ENDPOINT, ORDER);
    }
    final var first = holder.send("pool", ENDPOINT, ORDER);
    holderProcess.resume();
    for (int second = 0; second < 40; second++) {
      var unused = holder.send("pool", ENDPOINT, ORDER);
      unused = waiter.send("pool", ENDPOINT, ORDER);
      clock.advance(Duration.ofMillis(700));
    }
    assertThat(endpoint.acceptedFencingNumbers).isSorted();
    assertThat(first.isCompletedExceptionally()).isEqualTo(pauseSeconds >= 7);
  }

  @Test
  void shouldTakeOverWithHigherFencingNumberWhenDurationAndLongestOrderHavePassed() {
    OrderController holder = orders("a.1", holderProcess, new FakeOrderEndpoint(clock, false));
    LeaseController waiter = leases("a.2", waiterProcess);
    holder.acquire("pool");
    waiter.acquire("orders.pool");
    clock.advance(Duration.ofSeconds(3));
    holderProcess.pause();
    clock.advance(SETTINGS.duration().plus(SETTINGS.maxOrderDuration()).minusMillis(1));
    assertThat(waiter.held("orders.pool")).isEmpty();
    clock.advance(SETTINGS.renewalPeriod().multipliedBy(2));
    assertThat(waiter.held("orders.pool")).get().extracting(Lease::fencing).isEqualTo(2L);
  }

  @Test
  void shouldTakeOverExpiredLeaseWhenWaiterReleasesItBetweenAttempts() {
    LeaseController holder = leases("a.1", holderProcess);
    LeaseController waiter = leases("a.2", waiterProcess);
    holder.acquire("duty");
    holderProcess.pause();
    boolean held = false;
    for (int attempt = 0; attempt < 8 && !held; attempt++) {
      waiter.acquire("duty");
      clock.advance(Duration.ofSeconds(3));
      held = waiter.held("duty").isPresent();
      if (!held) {
        waiter.release("duty").join();
      }
    }
    assertThat(waiter.held("duty")).get().extracting(Lease::fencing).isEqualTo(2L);
  }

  @ParameterizedTest
  @ValueSource(strings = {"OUTAGE", "LOST_ANSWER", "LOST_WRITE"})
  void shouldExpireAndBeAcquiredAgainWhenPlatformFailsAndRecovers(String fault) {
    LeaseController holder = leases("a.1", holderProcess);
    holder.acquire("duty");
    clock.advance(Duration.ofSeconds(3));
    assertThat(holder.held("duty")).isPresent();
    table.setFault(Fault.valueOf(fault));
    clock.advance(SETTINGS.duration().minus(SETTINGS.clockDriftMargin()));
    assertThat(holder.held("duty")).isEmpty();
    table.setFault(Fault.NONE);
    clock.advance(SETTINGS.renewalPeriod().multipliedBy(2));
    assertThat(holder.held("duty")).get().extracting(Lease::fencing).isEqualTo(1L);
  }

  @ParameterizedTest
  @ValueSource(strings = {"LOST_ANSWER", "LOST_WRITE"})
  void shouldAcquireAfterReadingBackWhenFirstWriteIsAmbiguous(String fault) {
    LeaseController holder = leases("a.1", holderProcess);
    table.setFault(Fault.valueOf(fault));
    holder.acquire("duty");
    assertThat(holder.held("duty")).isEmpty();
    table.setFault(Fault.NONE);
    clock.advance(SETTINGS.renewalPeriod());
    assertThat(holder.held("duty")).get().extracting(Lease::fencing).isEqualTo(1L);
  }

  @Test
  void shouldBeAcquiredWithHigherFencingNumberWhenReleasedAfterLastOrder() {
    FakeOrderEndpoint endpoint = new FakeOrderEndpoint(clock, false);
    endpoint.delay = Duration.ofSeconds(4);
    OrderController holder = orders("a.1", holderProcess, endpoint);
    LeaseController waiter = leases("a.2", waiterProcess);
    holder.acquire("pool");
    waiter.acquire("orders.pool");
    final var order = holder.send("pool", ENDPOINT, ORDER);
    final CompletableFuture<Void> released = holder.release("pool");
    clock.advance(Duration.ofSeconds(3));
    assertThat(waiter.held("orders.pool")).isEmpty();
    clock.advance(Duration.ofSeconds(3));
    assertThat(order).isCompleted();
    assertThat(released).isCompleted();
    assertThat(waiter.held("orders.pool")).get().extracting(Lease::fencing).isEqualTo(2L);
  }

  @Test
  void shouldNotHoldLeaseOfEarlierProcessWhenRestartedUnderSameName() {
    LeaseController holder = leases("a.1", holderProcess);
    holder.acquire("duty");
    holderProcess.pause();
    LeaseController restarted =
        LeaseController.start(
            table, InstanceId.of("a.1"), 2, waiterProcess, EventLog.none(), SETTINGS);
    restarted.acquire("duty");
    clock.advance(SETTINGS.duration());
    assertThat(restarted.held("duty")).isEmpty();
    clock.advance(SETTINGS.maxOrderDuration().plus(SETTINGS.renewalPeriod().multipliedBy(2)));
    assertThat(restarted.held("duty")).get().extracting(Lease::fencing).isEqualTo(2L);
  }

  @Test
  void shouldRefuseOrderWhenLeaseIsNotHeld() {
    FakeOrderEndpoint endpoint = new FakeOrderEndpoint(clock, false);
    var refused = orders("a.1", holderProcess, endpoint).send("pool", ENDPOINT, ORDER);
    assertThat(refused.handle((done, thrown) -> FailureException.unwrap(thrown).type()).join())
        .isEqualTo(FailureType.LEASE_NOT_HELD);
    assertThat(endpoint.acceptedFencingNumbers).isEmpty();
  }

  private OrderController orders(
      String instance, ProcessTimer process, FakeOrderEndpoint endpoint) {
    return OrderController.of(leases(instance, process), endpoint, EventLog.none(), SETTINGS);
  }

  private LeaseController leases(String instance, ProcessTimer process) {
    return LeaseController.start(
        table, InstanceId.of(instance), 1, process, EventLog.none(), SETTINGS);
  }
}
