package org.snipewick.store.access;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.snipewick.time.VirtualTimerService;

/** Rate, burst and longest wait of {@link RateLimiter}. */
final class RateLimiterTest {
  private final VirtualTimerService timer = VirtualTimerService.of(0);
  private final RateLimiter limiter = new RateLimiter(timer, 100);

  @Test
  void shouldSpaceCallsWhenBurstIsUsedUp() {
    Duration limit = Duration.ofSeconds(1);
    IntStream.range(0, 10).forEach(call -> assertThat(limiter.reserve(limit)).contains(at(0)));

    assertThat(limiter.reserve(limit)).contains(at(10));
    assertThat(limiter.reserve(limit)).contains(at(20));
  }

  @Test
  void shouldTakeNoPlaceWhenWaitIsTooLong() {
    IntStream.range(0, 11).forEach(call -> limiter.reserve(Duration.ofSeconds(1)));

    assertThat(limiter.reserve(Duration.ofMillis(5))).isEmpty();
    assertThat(limiter.reserve(Duration.ofSeconds(1))).contains(at(20));
  }

  @Test
  void shouldAllowBurstAgainWhenTimeHasPassed() {
    IntStream.range(0, 30).forEach(call -> limiter.reserve(Duration.ofSeconds(1)));
    timer.advance(Duration.ofSeconds(10));

    IntStream.range(0, 10)
        .forEach(call -> assertThat(limiter.reserve(Duration.ZERO)).contains(at(0)));
    assertThat(limiter.reserve(Duration.ZERO)).isEmpty();
  }

  private static Duration at(long millis) {
    return Duration.ofMillis(millis);
  }
}
