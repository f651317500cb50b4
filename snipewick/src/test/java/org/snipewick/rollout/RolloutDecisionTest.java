package org.snipewick.rollout;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.snipewick.identity.PoolName;

/** Decides about fixed views of two instances. */
class RolloutDecisionTest {
  private static final RolloutBounds BOUNDS = new RolloutBounds(0.1, 50, Duration.ofSeconds(5));
  private static final RolloutOrder ORDER =
      new RolloutOrder(PoolName.of("pool"), "v2", Duration.ofSeconds(12), 7);
  private static final RolloutRecord TRIAL =
      RolloutRecord.start(ORDER, Optional.empty(), 1_000_000);
  private static final RolloutRecord MOVING =
      TRIAL.withPhase(RolloutPhase.MOVING, RolloutRecord.UNLIMITED, List.of());

  private static Evidence evidence(long onOld, boolean isSealed, long residenceMillis) {
    Tally old = new Tally(500, 0, Map.of(30, 500L), Map.of(), Map.of());
    Tally fresh = new Tally(15, 0, Map.of(30, 15L), Map.of(), Map.of());
    int bucket = Durations.bucketOf(Duration.ofMillis(residenceMillis).toNanos());
    return new Evidence(
        7,
        500,
        30,
        onOld,
        isSealed,
        Map.of(bucket, 500L),
        Map.of("read", old),
        Map.of("x", Map.of("read", fresh), "y", Map.of("read", fresh)));
  }

  private static Optional<RolloutPhase> next(
      RolloutRecord record, long elapsedMillis, Evidence first, Evidence second, int current) {
    Map<String, Evidence> seen = Map.of("a", first, "b", second);
    return new RolloutDecision(
            record,
            BOUNDS,
            new RolloutDecision.View(
                Duration.ofMillis(elapsedMillis),
                seen,
                seen,
                current == 2 ? Set.of("a", "b") : Set.of("a"),
                Set.of("a", "b"),
                2,
                List.of("v1"),
                false))
        .next()
        .map(RolloutDecision.Next::phase);
  }

  @Test
  void shouldMoveLateWhenRequestsAreShort() {
    Evidence seen = evidence(3, false, 50);
    assertThat(next(TRIAL, 10_500, seen, seen, 2)).isEmpty();
    assertThat(next(TRIAL, 11_100, seen, seen, 2)).contains(RolloutPhase.MOVING);
  }

  @Test
  void shouldRollBackWhenTimeForMoveIsOver() {
    Evidence seen = evidence(3, false, 50);
    assertThat(next(TRIAL, 11_400, seen, seen, 2)).contains(RolloutPhase.ROLLED_BACK);
  }

  /** Guards against old endpoints that stop while a request runs on them. */
  @Test
  void shouldNotCompleteWhenRequestRunsOnOldEndpoint() {
    Evidence left = evidence(0, true, 50);
    assertThat(next(MOVING, 11_900, left, evidence(1, false, 50), 2)).isEmpty();
    assertThat(next(MOVING, 13_000, left, evidence(1, false, 50), 2)).isEmpty();
    assertThat(next(MOVING, 11_900, left, left, 2)).contains(RolloutPhase.COMPLETE);
  }

  /** Guards against an order that waits for a dead instance until its deadline has passed. */
  @Test
  void shouldCompleteWithoutSilentInstanceOnlyWhenDeadlineIsNear() {
    Evidence left = evidence(0, true, 50);
    Evidence silent = evidence(4, false, 50);
    assertThat(next(MOVING, 11_660, left, silent, 1)).isEmpty();
    assertThat(next(MOVING, 11_710, left, silent, 1)).contains(RolloutPhase.COMPLETE);
  }

  /** Guards against a second trial because a restored store made the operator write again. */
  @Test
  void shouldCountRowAsSameOrderOnlyWhenContentIsSameBeforeDeadline() {
    RolloutOrder again = new RolloutOrder(ORDER.pool(), "v2", ORDER.duration(), 9);
    assertThat(TRIAL.isOf(again, 1_005_000)).isTrue();
    assertThat(TRIAL.isOf(again, 1_013_000)).isFalse();
    assertThat(TRIAL.isOf(ORDER, 1_013_000)).isTrue();
    assertThat(TRIAL.isOf(new RolloutOrder(ORDER.pool(), "v3", ORDER.duration(), 9), 1_005_000))
        .isFalse();
  }

  /** Guards against orders that are taken for earlier ones after a restore of the store. */
  @Test
  void shouldTellOrdersApartWhenRestoredStoreAssignsVersionsAgain() {
    RolloutOrder other = new RolloutOrder(ORDER.pool(), "v3", ORDER.duration(), ORDER.rowVersion());
    assertThat(TRIAL.isOf(other, 1_005_000)).isFalse();
    RolloutRecord next = RolloutRecord.start(other, Optional.of(TRIAL), 1_005_000);
    assertThat(next.isOlderThan(TRIAL)).isFalse();
    assertThat(TRIAL.isOlderThan(next)).isTrue();
    assertThat(next.isOf(other, 1_100_000)).isTrue();
    assertThat(next.givenUp()).containsExactly(TRIAL.to());
  }
}
