package org.snipewick.time;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

class MomentTest {
  private static final Moment START = new Moment(5_000_000_000L, 1_000_000L);

  @Test
  void shouldIncludeSuspensionWhenMonotonicClockStopped() {
    Moment resumed = new Moment(START.monotonicNanos(), START.epochMillis() + 7_000);
    assertThat(resumed.since(START)).isEqualTo(Duration.ofSeconds(7));
  }

  @Test
  void shouldUseMonotonicClockWhenWallClockWasSetBack() {
    Moment later =
        new Moment(START.monotonicNanos() + 3_000_000_000L, START.epochMillis() - 60_000);
    assertThat(later.since(START)).isEqualTo(Duration.ofSeconds(3));
  }

  @Test
  void shouldBeEarlierOnBothClocksWhenDurationIsSubtracted() {
    assertThat(START.since(START.minus(Duration.ofMillis(40)))).isEqualTo(Duration.ofMillis(40));
  }

  /** Guards against a proof that looks younger because one clock stopped or was set. */
  @Test
  void shouldBeEarliestByEitherClockWhenOffsetIsAdded() {
    Moment slept = new Moment(START.monotonicNanos() - 1, START.epochMillis() - 7_000);
    assertThat(slept.offsetFrom(START)).isEqualTo(Duration.ofSeconds(-7));
    assertThat(START.offsetFrom(slept)).isEqualTo(Duration.ofNanos(1));
    assertThat(START.plus(Duration.ofNanos(-1)))
        .isEqualTo(new Moment(START.monotonicNanos() - 1, START.epochMillis() - 1));
  }
}
