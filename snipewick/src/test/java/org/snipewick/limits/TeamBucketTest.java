package org.snipewick.limits;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.snipewick.catalogue.Entry;
import org.snipewick.identity.Tier;

class TeamBucketTest {
  private static final long SECOND = 1_000_000_000L;
  private static final Entry.Team TEAM =
      new Entry.Team("drivers", "owner", Tier.ONE, "00", 1_000, 10, 20);

  @Test
  void shouldKeepWhatWasFilledBeforeWhenShareChanges() {
    TeamBucket bucket = TeamBucket.of(TEAM, 0.5, 0);
    assertThat(bucket.tryAcquire(TEAM, 1_000, 0)).isEqualTo(TeamBucket.Admission.ADMITTED);
    bucket.leave();

    bucket.share(TEAM, 0.001, 2 * SECOND);

    assertThat(bucket.tryAcquire(TEAM, 100, 2 * SECOND)).isEqualTo(TeamBucket.Admission.ADMITTED);
  }

  @Test
  void shouldNotFillForThePastWhenShareGrows() {
    TeamBucket bucket = TeamBucket.of(TEAM, 0.001, 0);
    assertThat(bucket.tryAcquire(TEAM, 1_000, 0)).isEqualTo(TeamBucket.Admission.ADMITTED);
    bucket.leave();

    bucket.share(TEAM, 1, 10 * SECOND);

    assertThat(bucket.tryAcquire(TEAM, 100, 10 * SECOND)).isEqualTo(TeamBucket.Admission.REFUSED);
  }
}
