package org.snipewick.route;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalArgumentException;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.snipewick.identity.PoolName;

class RouteTest {

  @Test
  void shouldChoosePoolByWeightWhenRouteHasSeveralPools() {
    Route route =
        withPools(new WeightedPool(PoolName.of("a"), 90), new WeightedPool(PoolName.of("b"), 10));
    assertThat(route.choosePool(0)).contains(PoolName.of("a"));
    assertThat(route.choosePool(0.899)).contains(PoolName.of("a"));
    assertThat(route.choosePool(0.9)).contains(PoolName.of("b"));
    assertThat(route.choosePool(0.999)).contains(PoolName.of("b"));
  }

  @Test
  void shouldSkipPoolWhenItsWeightIsZero() {
    Route route =
        withPools(new WeightedPool(PoolName.of("a"), 0), new WeightedPool(PoolName.of("b"), 5));
    assertThat(route.choosePool(0)).contains(PoolName.of("b"));
    assertThat(withPools(new WeightedPool(PoolName.of("a"), 0)).choosePool(0.5)).isEmpty();
  }

  @Test
  void shouldBeIdempotentOnlyWhenSafeOrResumable() {
    assertThat(Plans.route("r", "/r/").isIdempotent()).isTrue();
    assertThat(Plans.route("r", "/r/", CallKind.UNSAFE, 1, false).isIdempotent()).isFalse();
    assertThat(Plans.route("r", "/r/", CallKind.STREAM, 1, false).isIdempotent()).isFalse();
    assertThat(Plans.route("r", "/r/", CallKind.STREAM, 2, true).isIdempotent()).isTrue();
  }

  @Test
  void shouldLimitWaitForFirstEventWhenAnswerIsStreamed() {
    assertThat(Plans.route("r", "/r/", CallKind.STREAM, 1, false).answerStartTimeout())
        .isEqualTo(Duration.ofMillis(3_200));
    assertThat(Plans.route("r", "/r/").answerStartTimeout()).isEqualTo(Duration.ofSeconds(5));
  }

  @Test
  void shouldThrowWhenPrefixHasNoTrailingSlash() {
    assertThatIllegalArgumentException().isThrownBy(() -> Plans.route("r", "/r"));
  }

  private static Route withPools(WeightedPool... pools) {
    Route single = Plans.route("r", "/r/");
    return new Route(
        single.name(),
        single.host(),
        single.prefix(),
        single.kind(),
        single.timeout(),
        single.targetLatency(),
        single.targetGap(),
        single.tier(),
        single.maxAttempts(),
        single.isPublic(),
        single.isResumable(),
        List.of(pools));
  }
}
