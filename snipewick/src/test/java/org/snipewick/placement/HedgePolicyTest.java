package org.snipewick.placement;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.snipewick.identity.EndpointId;
import org.snipewick.identity.FailureDomain;
import org.snipewick.identity.PoolName;
import org.snipewick.identity.Tier;
import org.snipewick.registry.RegisteredEndpoint;

/** Guards against hedges that exceed their budget or harm other requests. */
class HedgePolicyTest {
  private static final PoolName POOL = PoolName.of("engines");
  private static final String ROUTE = "route";
  private static final Duration WINDOW = Duration.ofSeconds(10);
  private static final long FAST_NANOS = 100_000_000;
  private static final long SLOW_NANOS = 900_000_000;
  private static final long NANOS_PER_SECOND = 1_000_000_000;

  private static HedgePolicy learned(int responses, int slowEvery) {
    HedgePolicy policy = HedgePolicy.of(0.02, WINDOW);
    for (int response = 0; response < responses; response++) {
      policy.recordResponseTime(ROUTE, response % slowEvery == 0 ? SLOW_NANOS : FAST_NANOS);
    }
    return policy;
  }

  @Test
  void shouldHedgeAfterUsualTimeWhenOneEndpointOfManyIsSlow() {
    assertThat(learned(200, 30).delayNanos(ROUTE)).isEqualTo(OptionalLong.of(FAST_NANOS));
  }

  @Test
  void shouldWaitAsLongAsAllResponsesTakeWhenAllEndpointsAreSlow() {
    assertThat(learned(200, 1).delayNanos(ROUTE)).isEqualTo(OptionalLong.of(SLOW_NANOS));
  }

  @Test
  void shouldHaveNoDelayWhenFewResponsesAreKnown() {
    assertThat(learned(39, 30).delayNanos(ROUTE)).isEmpty();
    assertThat(learned(200, 30).delayNanos("other")).isEmpty();
  }

  @ParameterizedTest
  @CsvSource({
    // repeatable, sent, has response, waiting, allowed
    "true, true, false, 0, true",
    "false, true, false, 0, false",
    "true, false, false, 0, false",
    "true, true, true, 0, false",
    "true, true, false, 1, false",
  })
  void shouldHedgeOnlyRepeatableSentRequestsOfPoolWithoutQueue(
      boolean isRepeatable, boolean wasSent, boolean hasResponse, int waiting, boolean isAllowed) {
    assertThat(
            HedgePolicy.allows(
                new HedgePolicy.Situation(isRepeatable, wasSent, hasResponse, waiting)))
        .isEqualTo(isAllowed);
  }

  @ParameterizedTest
  @CsvSource({"0, true", "4, true", "5, false", "9, false", "30, false"})
  void shouldNotHedgeInOverloadWhenBestEndpointHasLittleRoom(int inFlight, boolean hasRoom) {
    RegisteredEndpoint endpoint =
        new RegisteredEndpoint(
            EndpointId.of("e1"), 1, POOL, FailureDomain.of("linz"), "127.0.0.1", 1, 10, false);
    WaitingRequest request = new WaitingRequest("1", Tier.of(1), 0, 1, 1, 0, java.util.Set.of());

    assertThat(HedgePolicy.hasRoom(new PlacementDecision.Placed(request, endpoint, inFlight, 0)))
        .isEqualTo(hasRoom);
  }

  /** Each of 340 instances would hedge all its requests and retry an eighth of them. */
  @Test
  void shouldKeepShareAndRetryBudgetWhenAllInstancesHedgeAllRequests() {
    final int instances = 340;
    final double share = 0.02;
    final double ratio = 0.2;
    final double slack = 56;
    List<HedgePolicy> policies = new ArrayList<>();
    List<PoolRetryBudget> retryBudgets = new ArrayList<>();
    for (int instance = 0; instance < instances; instance++) {
      policies.add(HedgePolicy.of(share, WINDOW));
      retryBudgets.add(PoolRetryBudget.of(ratio, slack, instances, WINDOW));
    }
    int requests = 0;
    int hedges = 0;
    int retries = 0;
    for (long nanos = 0; nanos < WINDOW.toNanos(); nanos += NANOS_PER_SECOND / 13) {
      for (int instance = 0; instance < instances; instance++) {
        requests++;
        policies.get(instance).countRequest(POOL, nanos);
        retryBudgets.get(instance).countRequest(nanos);
        hedges += policies.get(instance).trySpend(POOL, retryBudgets.get(instance), nanos) ? 1 : 0;
        if (requests % 8 == 0) {
          retries += retryBudgets.get(instance).trySpend(nanos) ? 1 : 0;
        }
      }
    }

    assertThat(hedges).isPositive().isLessThanOrEqualTo((int) (share * requests));
    assertThat(hedges + retries).isLessThanOrEqualTo((int) (ratio * requests + slack));
  }

  @Test
  void shouldSpendNothingWhenShareIsZero() {
    HedgePolicy policy = HedgePolicy.of(0, WINDOW);
    policy.countRequest(POOL, 0);

    assertThat(policy.isEnabled()).isFalse();
    assertThat(policy.trySpend(POOL, PoolRetryBudget.of(1, 100, 1, WINDOW), 0)).isFalse();
  }

  @ParameterizedTest
  @ValueSource(doubles = {-0.1, 1.1, Double.NaN})
  void shouldRejectShareWhenItIsNone(double share) {
    assertThatThrownBy(() -> HedgePolicy.of(share, WINDOW))
        .isInstanceOf(IllegalArgumentException.class);
  }
}
