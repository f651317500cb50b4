package org.snipewick.relay;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

class CallDurationsTest {
  private final CallDurations durations = new CallDurations();

  @Test
  void shouldHaveNoEstimateWhenThereAreTooFewCalls() {
    for (int call = 1; call < CallDurations.MIN_CALLS; call++) {
      durations.record("route", call, 0);
      assertThat(durations.longestNanos("route", 0)).isEmpty();
    }
    durations.record("route", 5, 0);
    assertThat(durations.longestNanos("route", 0)).hasValue(CallDurations.MIN_CALLS - 1);
    assertThat(durations.longestNanos("other", 0)).isEmpty();
  }

  @Test
  void shouldForgetLongCallWhenItIsOld() {
    durations.record("route", 1_000, 0);
    for (int second = 0; second < 90; second++) {
      durations.record("route", 10, seconds(second));
    }
    assertThat(durations.longestNanos("route", seconds(90))).hasValue(10);
  }

  @Test
  void shouldRememberLongCallForWindow() {
    for (int second = 0; second < 29; second++) {
      durations.record("route", second == 28 ? 1_000 : 10, seconds(second));
    }
    assertThat(durations.longestNanos("route", seconds(57))).hasValue(1_000);
    assertThat(durations.longestNanos("route", seconds(91))).isEmpty();
  }

  private static long seconds(int seconds) {
    return Duration.ofSeconds(seconds).toNanos();
  }
}
