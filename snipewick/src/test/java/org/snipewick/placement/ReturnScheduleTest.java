package org.snipewick.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

class ReturnScheduleTest {
  private static final double WAIT_NANOS = Duration.ofMillis(300).toNanos();
  private static final double SLOT_NANOS = Duration.ofMillis(100).toNanos();

  private final ReturnSchedule schedule = new ReturnSchedule();

  @Test
  void shouldSpreadReturnsOverFreeSlotsWhenManyAreRefusedTogether() {
    for (int refused = 0; refused < 10; refused++) {
      assertThat(schedule.book(WAIT_NANOS, SLOT_NANOS, 0))
          .isEqualTo(Duration.ofMillis(300 + 100L * refused));
    }
  }

  @Test
  void shouldNotExceedMaximumWhenBurstContinues() {
    for (int refused = 0; refused < 1_000; refused++) {
      assertThat(schedule.book(WAIT_NANOS, SLOT_NANOS, 0))
          .isBetween(Duration.ofMillis(300), Duration.ofSeconds(5));
    }
    assertThat(schedule.book(Double.POSITIVE_INFINITY, Double.NaN, 0))
        .isEqualTo(Duration.ofSeconds(5));
  }

  @Test
  void shouldForgetBookingsWhenTheyHavePassed() {
    for (int refused = 0; refused < 10; refused++) {
      schedule.book(WAIT_NANOS, SLOT_NANOS, 0);
    }
    long later = Duration.ofSeconds(3).toNanos();
    assertThat(schedule.book(WAIT_NANOS, SLOT_NANOS, later)).isEqualTo(Duration.ofMillis(300));
  }

  @Test
  void shouldWaitForMinimumWhenSlotIsFreeAtOnce() {
    assertThat(ReturnSchedule.atLeastMinimum(Duration.ZERO)).isEqualTo(Duration.ofMillis(200));
    assertThat(ReturnSchedule.atLeastMinimum(Duration.ofSeconds(9)))
        .isEqualTo(Duration.ofSeconds(9));
  }
}
