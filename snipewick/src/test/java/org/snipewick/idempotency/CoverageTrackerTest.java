package org.snipewick.idempotency;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.snipewick.membership.SettableMembership;

class CoverageTrackerTest {
  private static final long EARLIEST_CLAIM = 10_000;

  @ParameterizedTest
  @CsvSource({
    "gained before the claim, true, 9000, true",
    "gained after the claim, true, 11000, false",
    "never had, false, 0, false",
    "lost, false, 9000, false"
  })
  void shouldVouchOnlyForTimeWithUnbrokenStanding(
      String standing, boolean has, long since, boolean proves) {
    SettableMembership membership =
        new SettableMembership(SettableMembership.viewOf("wien-a.1", "wien-a.1", "wien-a.2"));
    CoverageTracker coverage = CoverageTracker.of(membership);
    membership.standing(has, since);
    assertThat(coverage.current().provesAbsence(EARLIEST_CLAIM, 0)).as(standing).isEqualTo(proves);

    coverage.inherit(new Coverage(false, since));
    assertThat(coverage.current().provesAbsence(EARLIEST_CLAIM, 0)).as(standing).isEqualTo(proves);
  }
}
