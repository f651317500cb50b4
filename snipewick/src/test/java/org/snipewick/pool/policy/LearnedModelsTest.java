package org.snipewick.pool.policy;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.snipewick.identity.TeamName;
import org.snipewick.identity.Tier;
import org.snipewick.pool.PoolFixtures;
import org.snipewick.pool.WorkRequest;

class LearnedModelsTest {
  private static final TeamName SHORT = TeamName.of("short");
  private static final TeamName LONG = TeamName.of("long");
  private static final long NANOS_PER_MILLI = 1_000_000L;

  @ParameterizedTest
  @CsvSource({"1", "2", "3"})
  void shouldLearnSpeedWhenItIsNotConfigured(double slowdown) {
    SpeedModel speed = new SpeedModel();
    for (int i = 0; i < 1_000; i++) {
      int batchSize = 1 + i % 16;
      speed.observeToken(batchSize, slowdown * (10 + batchSize), i * 100L * NANOS_PER_MILLI);
      speed.observeFirstToken(100.0 * (i % 40), slowdown * (20 + 10.0 * (i % 40)));
    }

    long now = 100_000 * NANOS_PER_MILLI;
    assertThat(speed.tokenMillis(4, now)).isCloseTo(slowdown * 14, within(2.0));
    assertThat(speed.tokenMillis(16, now)).isCloseTo(slowdown * 26, within(3.0));
    assertThat(speed.firstTokenMillis(2_000, now)).isCloseTo(slowdown * 220, within(20.0));
    assertThat(speed.isStraggler(now)).isFalse();
  }

  @Test
  void shouldStopBeingStragglerWhenNoObservationsArrive() {
    SpeedModel speed = new SpeedModel();
    for (int i = 0; i < 200; i++) {
      speed.observeToken(1, 20, i * 100L * NANOS_PER_MILLI);
    }
    for (int i = 200; i < 215; i++) {
      speed.observeToken(1, 120, i * 100L * NANOS_PER_MILLI);
    }

    assertThat(speed.isStraggler(21_500 * NANOS_PER_MILLI)).isTrue();
    assertThat(speed.isStraggler(60_000 * NANOS_PER_MILLI)).isFalse();
  }

  @Test
  void shouldForecastLengthsByTeamWhenTeamsDiffer() {
    LengthModel lengths = new LengthModel(true);
    for (int i = 0; i < 500; i++) {
      lengths.observe(SHORT, 20 + i % 10);
      lengths.observe(LONG, 400 + i % 100);
    }

    assertThat(lengths.quantile(SHORT, 0.8, 0, 1_000)).isBetween(20.0, 40.0);
    assertThat(lengths.quantile(LONG, 0.8, 0, 1_000)).isBetween(400.0, 650.0);
    assertThat(lengths.quantile(LONG, 0.8, 0, 64)).isEqualTo(64);
    assertThat(lengths.exceedProbability(SHORT, 100, 1_000)).isLessThan(0.05);
    assertThat(lengths.exceedProbability(LONG, 100, 1_000)).isGreaterThan(0.95);
  }

  @Test
  void shouldForecastAtLeastCurrentLengthWhenAnswerExceedsAllObserved() {
    LengthModel lengths = new LengthModel(true);
    for (int i = 0; i < 100; i++) {
      lengths.observe(SHORT, 20);
    }

    assertThat(lengths.quantile(SHORT, 0.5, 700, 1_000)).isBetween(700.0, 1_000.0);
  }

  @Test
  void shouldEvictLeastRecentlyUsedPrefixWhenCacheIsFull() {
    PrefixCacheModel cache = new PrefixCacheModel();
    cache.resize(4 * 64);
    cache.store(List.of(1L, 2L));
    cache.store(List.of(3L, 4L));
    cache.store(List.of(1L, 2L));
    cache.store(List.of(5L, 6L));

    assertThat(cache.cachedTokens(List.of(1L, 2L))).isEqualTo(128);
    assertThat(cache.cachedTokens(List.of(3L, 4L))).isZero();
  }

  @Test
  void shouldCountOnlyLeadingBlocksWhenOneIsEvicted() {
    PrefixCacheModel cache = new PrefixCacheModel();
    cache.store(List.of(1L, 2L, 3L));
    cache.evict(List.of(2L));

    assertThat(cache.cachedTokens(List.of(1L, 2L, 3L))).isEqualTo(64);
  }

  @ParameterizedTest
  @CsvSource({"1, 1000, 1000", "2, 1000, 1250", "2, 0, 1000", "4, 1000, 1250"})
  void shouldForecastWaitFromLoadOfLast30SecondsWhenBurstHasJustBegun(
      int tier, double higherTierTokensPerSecond, double waitMillis) {
    DrainRate drainRate = new DrainRate();
    drainRate.advance(false, 0);
    for (int i = 1; i <= 1_000; i++) {
      drainRate.recordGrant(100);
      drainRate.advance(true, i * 20L * NANOS_PER_MILLI);
    }
    long now = 20_000 * NANOS_PER_MILLI;
    drainRate.recordArrival(Tier.ONE, 30 * higherTierTokensPerSecond, now);

    assertThat(drainRate.waitMillis(Tier.of(tier), 5_000, now)).isCloseTo(waitMillis, within(20.0));
  }

  @Test
  void shouldNotForecastWaitWhenNothingHasWaited() {
    DrainRate drainRate = new DrainRate();
    for (int i = 0; i < 100; i++) {
      drainRate.recordGrant(100);
      drainRate.advance(false, i * 20L * NANOS_PER_MILLI);
    }

    assertThat(drainRate.waitMillis(Tier.FOUR, 100_000, 2_000 * NANOS_PER_MILLI)).isZero();
  }

  @Test
  void shouldForecastLaterFinishWhenMissWouldWasteLongPrompt() {
    LengthModel lengths = new LengthModel(true);
    for (int i = 0; i < 500; i++) {
      lengths.observe(SHORT, i % 10 == 0 ? 900 : 20);
    }
    Forecast forecast = new Forecast(lengths, 0.8);
    EndpointModel endpoint = new EndpointModel(PoolFixtures.endpoint("a", 8), true);
    double shortPrompt =
        forecast.promptAdjustedFinishMillis(endpoint, requestWithLongAnswer(100), 0);
    double longPrompt =
        forecast.promptAdjustedFinishMillis(endpoint, requestWithLongAnswer(4_000), 0);

    assertThat(longPrompt - shortPrompt).isGreaterThan(10_000);
    assertThat(forecast.promptAdjustedServiceMillis(endpoint, requestWithLongAnswer(4_000), 0))
        .isGreaterThan(forecast.serviceMillis(endpoint, requestWithLongAnswer(4_000), 0) + 10_000);
  }

  private static WorkRequest requestWithLongAnswer(int promptTokens) {
    WorkRequest work = PoolFixtures.work("e", 1, 2, "short", promptTokens, 60_000);
    return new WorkRequest(
        work.id(),
        work.team(),
        work.pool(),
        work.tier(),
        promptTokens,
        1_500,
        List.of(),
        0,
        60_000);
  }
}
