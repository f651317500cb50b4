package org.snipewick.idempotency;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.snipewick.membership.SettableMembership;

class CoverageTrackerTest {
  private static final long EARLIEST_CLAIM_EPOCH_MILLIS = 10_000;

  @ParameterizedTest
  @CsvSource({
    "active since before the claim, true, 9000, true",
    "active since after the claim, true, 11000, false",
    "never active, false, 0, false",
    "no longer active, false, 9000, false"
  })
  void shouldProveAbsenceOnlyWhenActiveSinceBeforeClaim(
      String name, boolean active, long sinceEpochMillis, boolean provesAbsence) {
    SettableMembership membership =
        new SettableMembership(SettableMembership.viewOf("wien-a.1", "wien-a.1", "wien-a.2"));
    CoverageTracker coverage = CoverageTracker.of(membership);
    membership.setActive(active, sinceEpochMillis);
    assertThat(coverage.current().provesAbsence(EARLIEST_CLAIM_EPOCH_MILLIS, 0))
        .as(name)
        .isEqualTo(provesAbsence);

    coverage.addHandedOver(new Coverage(false, sinceEpochMillis));
    assertThat(coverage.current().provesAbsence(EARLIEST_CLAIM_EPOCH_MILLIS, 0))
        .as(name)
        .isEqualTo(provesAbsence);
  }
}
