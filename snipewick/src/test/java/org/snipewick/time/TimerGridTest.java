package org.snipewick.time;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;

class TimerGridTest {
  private static final long NANOS_PER_MILLI = 1_000_000L;
  private static final long SPACING_NANOS = 500 * NANOS_PER_MILLI;

  @Property(seed = "45")
  void shouldRunFirstWithinOnePeriodWhenStartedAtAnyTime(
      @ForAll long originNanos,
      @ForAll long nowNanos,
      @ForAll @IntRange(min = 1, max = 60_000) int periodMillis) {
    long periodNanos = periodMillis * NANOS_PER_MILLI;

    long delayNanos = new TimerGrid(originNanos).firstDelayNanos(nowNanos, periodNanos);

    assertThat(delayNanos)
        .isLessThanOrEqualTo(periodNanos)
        .isGreaterThan(Math.max(0, periodNanos - SPACING_NANOS));
  }

  @Property(seed = "45")
  void shouldRunAtGridPointsWhenPeriodIsMultipleOfSpacing(
      @ForAll @LongRange(min = 0, max = Long.MAX_VALUE / 4) long originNanos,
      @ForAll @LongRange(min = 0, max = Long.MAX_VALUE / 4) long nowNanos,
      @ForAll @IntRange(min = 1, max = 60) int multiple) {
    TimerGrid grid = new TimerGrid(originNanos);

    long delayNanos = grid.firstDelayNanos(nowNanos, multiple * SPACING_NANOS);

    assertThat(Math.floorMod(nowNanos + delayNanos - originNanos, SPACING_NANOS)).isZero();
  }
}
