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
  void shouldStartWithinOnePeriodWhenSubscribedAtAnyTime(
      @ForAll long origin, @ForAll long now, @ForAll @IntRange(min = 1, max = 60_000) int millis) {
    long period = millis * NANOS_PER_MILLI;

    long delay = new TimerGrid(origin).firstDelayNanos(now, period);

    assertThat(delay)
        .isLessThanOrEqualTo(period)
        .isGreaterThan(Math.max(0, period - SPACING_NANOS));
  }

  @Property(seed = "45")
  void shouldRunTogetherWhenPeriodsAreMultiplesOfSpacing(
      @ForAll @LongRange(min = 0, max = Long.MAX_VALUE / 4) long origin,
      @ForAll @LongRange(min = 0, max = Long.MAX_VALUE / 4) long now,
      @ForAll @IntRange(min = 1, max = 60) int multiple) {
    TimerGrid grid = new TimerGrid(origin);

    long delay = grid.firstDelayNanos(now, multiple * SPACING_NANOS);

    assertThat(Math.floorMod(now + delay - origin, SPACING_NANOS)).isZero();
  }
}
