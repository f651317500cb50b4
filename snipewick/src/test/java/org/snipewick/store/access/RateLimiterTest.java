package org.snipewick.store.access;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.snipewick.time.VirtualTimerService;

/** Rate, burst and maximum wait of {@link RateLimiter}. */
final class RateLimiterTest {
  private final VirtualTimerService timer = VirtualTimerService.of(0);
  private final RateLimiter limiter = new RateLimiter(timer, 100);

  @Test
  void shouldSpaceCallsEvenlyWhenBurstIsUsedUp() {
    Duration maxWait = Duration.ofSeconds(1);
    IntStream.range(0, 10)
        .forEach(call -> assertThat(limiter.reserve(maxWait)).contains(afterMillis(0)));

    assertThat(limiter.reserve(maxWait)).contains(afterMillis(10));
    assertThat(limiter.reserve(maxWait)).contains(afterMillis(20));
  }

  @Test
  void shouldReserveNothingWhenWaitIsTooLong() {
    IntStream.range(0, 11).forEach(call -> limiter.reserve(Duration.ofSeconds(1)));

    assertThat(limiter.reserve(Duration.ofMillis(5))).isEmpty();
    assertThat(limiter.reserve(Duration.ofSeconds(1))).contains(afterMillis(20));
  }

  @Test
  void shouldAllowBurstAgainWhenIdle() {
    IntStream.range(0, 30).forEach(call -> limiter.reserve(Duration.ofSeconds(1)));
    timer.advance(Duration.ofSeconds(10));

    IntStream.range(0, 10)
        .forEach(call -> assertThat(limiter.reserve(Duration.ZERO)).contains(afterMillis(0)));
    assertThat(limiter.reserve(Duration.ZERO)).isEmpty();
  }

  private static Duration afterMillis(long millis) {
    return Duration.ofMillis(millis);
  }
}
