package org.snipewick.limits;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.snipewick.catalogue.Entry;
import org.snipewick.identity.Tier;

class TeamBucketTest {
  private static final long SECOND_NANOS = 1_000_000_000L;
  private static final Entry.Team TEAM =
      new Entry.Team("drivers", "owner", Tier.ONE, "00", 1_000, 10, 20);

  @Test
  void shouldKeepEarlierRefillWhenShareFalls() {
    TeamBucket bucket = TeamBucket.of(TEAM, 0.5, 0);
    assertThat(bucket.tryAcquire(TEAM, 1_000, 0)).isEqualTo(TeamBucket.Admission.ADMITTED);
    bucket.release();

    bucket.setShare(TEAM, 0.001, 2 * SECOND_NANOS);

    assertThat(bucket.tryAcquire(TEAM, 100, 2 * SECOND_NANOS))
        .isEqualTo(TeamBucket.Admission.ADMITTED);
  }

  @Test
  void shouldNotRefillAtNewShareForPastTimeWhenShareRises() {
    TeamBucket bucket = TeamBucket.of(TEAM, 0.001, 0);
    assertThat(bucket.tryAcquire(TEAM, 1_000, 0)).isEqualTo(TeamBucket.Admission.ADMITTED);
    bucket.release();

    bucket.setShare(TEAM, 1, 10 * SECOND_NANOS);

    assertThat(bucket.tryAcquire(TEAM, 100, 10 * SECOND_NANOS))
        .isEqualTo(TeamBucket.Admission.REFUSED);
  }
}
