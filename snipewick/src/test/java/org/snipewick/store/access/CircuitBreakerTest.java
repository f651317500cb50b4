package org.snipewick.store.access;

import static java.util.concurrent.CompletableFuture.completedFuture;
import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.snipewick.event.EventType;
import org.snipewick.time.VirtualTimerService;

/** Opening, probing and closing of {@link CircuitBreaker}. */
final class CircuitBreakerTest {
  private static final StoreResult<String> LOST = StoreResult.lost("timeout");

  private final VirtualTimerService timer = VirtualTimerService.of(0);
  private final List<EventType> events = new ArrayList<>();
  private StoreResult<String> probeResult = LOST;
  private int probes;

  private final CircuitBreaker circuit =
      new CircuitBreaker(
          new StoreSettings.Circuit(3, 1_000),
          timer,
          (type, subject, details) -> events.add(type),
          new Random(9),
          () -> {
            probes++;
            return completedFuture(probeResult);
          });

  private static StoreResult<String> succeeded() {
    return new StoreResult.Succeeded<>("");
  }

  @ParameterizedTest
  @CsvSource({"true,true", "false,false"})
  void shouldOpenOnlyWhenFailuresShowStoreUnavailable(boolean storeAvailable, boolean isClosed) {
    for (int call = 0; call < 3; call++) {
      circuit.observe(new StoreResult.Failed<String>("failed", true, true, storeAvailable));
    }

    assertThat(circuit.isAvailable()).isEqualTo(isClosed);
  }

  @Test
  void shouldStayClosedWhenFailuresAreNotConsecutive() {
    for (int call = 0; call < 10; call++) {
      circuit.observe(LOST);
      circuit.observe(LOST);
      circuit.observe(succeeded());
    }

    assertThat(circuit.isAvailable()).isTrue();
    assertThat(events).isEmpty();
  }

  @Test
  void shouldCloseOnceWhenProbeSucceeds() {
    for (int call = 0; call < 30; call++) {
      circuit.observe(LOST);
    }
    timer.advance(Duration.ofSeconds(10));
    assertThat(probes).isBetween(6, 20);
    assertThat(circuit.isAvailable()).isFalse();

    circuit.observe(succeeded());
    assertThat(circuit.isAvailable()).isFalse();

    probeResult = succeeded();
    timer.advance(Duration.ofMillis(1_500));
    assertThat(circuit.isAvailable()).isTrue();
    assertThat(events).containsExactly(EventType.PLATFORM_LOST, EventType.PLATFORM_REGAINED);
  }
}
