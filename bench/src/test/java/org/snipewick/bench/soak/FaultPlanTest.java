package org.snipewick.bench.soak;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

class FaultPlanTest {
  private static final Duration MINUTE = Duration.ofMinutes(1);

  @Test
  void shouldReturnSamePlanWhenSeedIsSame() {
    assertThat(FaultPlan.of(7, MINUTE)).isEqualTo(FaultPlan.of(7, MINUTE));
    assertThat(FaultPlan.of(7, MINUTE)).isNotEqualTo(FaultPlan.of(8, MINUTE));
  }

  @Test
  void shouldStartAllFaultsWithinLengthAndInOrderWhenPlanned() {
    assertThat(FaultPlan.of(3, MINUTE).faults())
        .isNotEmpty()
        .isSortedAccordingTo((one, other) -> one.start().compareTo(other.start()))
        .allSatisfy(planned -> assertThat(planned.start()).isLessThan(MINUTE));
  }

  @Test
  void shouldContainEachKindOfFaultWhenManySeedsArePlanned() {
    assertThat(LongStream.range(0, 20).boxed())
        .flatMap(seed -> FaultPlan.of(seed, MINUTE).faults())
        .extracting(planned -> planned.fault().getClass().getSimpleName())
        .contains("Kill", "PlannedStop", "Pause", "LinkCut", "Misbehaviour");
  }
}
