package org.snipewick.event;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.time.Duration;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class LineBudgetTest {
  private static final long SECOND_NANOS = 1_000_000_000L;
  private static final long START_NANOS =
      Duration.ofNanos(Long.MAX_VALUE).minusSeconds(1).toNanos();

  @Test
  void shouldAllowBurstWhenNothingWasWritten() {
    LineBudget budget = LineBudget.of(100, 30, START_NANOS);
    assertThat(taken(budget, 50, START_NANOS)).isEqualTo(30);
  }

  @Test
  void shouldAllowRateWhenBurstIsSpent() {
    LineBudget budget = LineBudget.of(100, 30, START_NANOS);
    taken(budget, 50, START_NANOS);
    assertThat(taken(budget, 50, START_NANOS + SECOND_NANOS / 10)).isEqualTo(10);
  }

  @Test
  void shouldAllowNoMoreThanBurstWhenIdleForLongAndClockWraps() {
    LineBudget budget = LineBudget.of(100, 30, START_NANOS);
    assertThat(taken(budget, 50, START_NANOS + 60 * SECOND_NANOS)).isEqualTo(30);
  }

  @Test
  void shouldRejectRateWhenNotPositive() {
    assertThatThrownBy(() -> LineBudget.of(0, 1, 0)).isInstanceOf(IllegalArgumentException.class);
  }

  private static long taken(LineBudget budget, int tries, long nowNanos) {
    return IntStream.range(0, tries).filter(each -> budget.tryTake(nowNanos)).count();
  }
}
