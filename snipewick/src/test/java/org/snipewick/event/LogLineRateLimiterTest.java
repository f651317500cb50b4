package org.snipewick.event;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.time.Duration;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class LogLineRateLimiterTest {
  private static final long SECOND_NANOS = 1_000_000_000L;

  /** One second before the monotonic clock overflows. */
  private static final long START_NANOS =
      Duration.ofNanos(Long.MAX_VALUE).minusSeconds(1).toNanos();

  @Test
  void shouldAllowBurstWhenNothingWasWritten() {
    LogLineRateLimiter limiter = LogLineRateLimiter.of(100, 30, START_NANOS);
    assertThat(countAcquired(limiter, 50, START_NANOS)).isEqualTo(30);
  }

  @Test
  void shouldAllowRateWhenBurstIsSpent() {
    LogLineRateLimiter limiter = LogLineRateLimiter.of(100, 30, START_NANOS);
    countAcquired(limiter, 50, START_NANOS);
    assertThat(countAcquired(limiter, 50, START_NANOS + SECOND_NANOS / 10)).isEqualTo(10);
  }

  @Test
  void shouldAllowNoMoreThanBurstWhenIdleForLongAndMonotonicClockOverflows() {
    LogLineRateLimiter limiter = LogLineRateLimiter.of(100, 30, START_NANOS);
    assertThat(countAcquired(limiter, 50, START_NANOS + 60 * SECOND_NANOS)).isEqualTo(30);
  }

  @Test
  void shouldRejectRateWhenNotPositive() {
    assertThatThrownBy(() -> LogLineRateLimiter.of(0, 1, 0))
        .isInstanceOf(IllegalArgumentException.class);
  }

  private static long countAcquired(LogLineRateLimiter limiter, int attempts, long nowNanos) {
    return IntStream.range(0, attempts).filter(each -> limiter.tryAcquire(nowNanos)).count();
  }
}
