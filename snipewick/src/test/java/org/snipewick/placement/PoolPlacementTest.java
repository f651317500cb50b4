package org.snipewick.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.snipewick.identity.EndpointId;
import org.snipewick.identity.FailureDomain;
import org.snipewick.identity.PoolName;
import org.snipewick.identity.Tier;
import org.snipewick.registry.RegisteredEndpoint;

class PoolPlacementTest {
  private static final FailureDomain LOCAL = FailureDomain.of("linz");
  private static final FailureDomain REMOTE = FailureDomain.of("graz");
  private static final long SECOND_NANOS = 1_000_000_000L;

  private final PoolPlacement pool =
      PoolPlacement.of(
          LOCAL,
          QueueOrder.byTierOnTimeFirst(),
          WaitLimit.halfOfTimeLeft(),
          new SplittableRandom(1));
  private long nowNanos = SECOND_NANOS;
  private int addedRequests;

  @Test
  void shouldSpreadOverEndpointsWhenAllAreFree() {
    pool.update(List.of(endpoint("a", LOCAL, 4), endpoint("b", LOCAL, 4)));
    assertThat(place(4)).containsExactlyInAnyOrder("a", "a", "b", "b");
  }

  @Test
  void shouldPreferLocalEndpointsUntilTheyAreMoreLoaded() {
    pool.update(List.of(endpoint("local", LOCAL, 10), endpoint("remote", REMOTE, 10)));
    List<String> placed = place(10);
    assertThat(placed.get(0)).isEqualTo("local");
    assertThat(placed).contains("remote");
    assertThat(placed.stream().filter("local"::equals).count()).isGreaterThan(5);
  }

  @Test
  void shouldNotExceedCapacityWhenPeersUseSomeSlots() {
    pool.update(List.of(endpoint("a", LOCAL, 4)));
    pool.setPeersInFlight(Map.of(EndpointId.of("a"), 3), true, nowNanos + SECOND_NANOS);
    assertThat(place(3)).containsExactly("a");
    assertThat(pool.waiting()).isEqualTo(2);
  }

  /** Guards against requests for one version that wait behind those for another one. */
  @Test
  void shouldPlaceRequestWhenOneWithAnotherFilterWaitsAhead() {
    pool.update(List.of(endpoint("old", LOCAL, 4), endpoint("new", LOCAL, 1)));
    EndpointFilter onlyNew = endpoint -> endpoint.id().value().equals("new");
    EndpointFilter onlyOld = endpoint -> endpoint.id().value().equals("old");
    addFiltered("1", onlyNew);
    addFiltered("2", onlyNew);
    addFiltered("3", onlyOld);
    assertThat(pool.decide(nowNanos))
        .extracting(decision -> decision.request().id())
        .containsExactly("1", "3");
  }

  private void addFiltered(String id, EndpointFilter filter) {
    WaitingRequest any =
        request(id, Tier.ONE, nowNanos, nowNanos + SECOND_NANOS, nowNanos + 60 * SECOND_NANOS);
    pool.add(any.withFilter(filter));
  }

  @Test
  void shouldUseLoadReportedByEndpointWhenPeerIsSilent() {
    pool.update(List.of(endpoint("a", LOCAL, 4)));
    pool.setPeersInFlight(Map.of(), false, nowNanos + SECOND_NANOS);
    pool.updateReportedLoad(EndpointId.of("a"), ReportedLoad.of(3, 0, 4), nowNanos);
    assertThat(place(3)).containsExactly("a");
  }

  @Test
  void shouldUseLoadReportedByEndpointWhenSumOverPeersHasExpired() {
    pool.update(List.of(endpoint("a", LOCAL, 4)));
    pool.setPeersInFlight(Map.of(), true, nowNanos + SECOND_NANOS);
    nowNanos += 2 * SECOND_NANOS;
    pool.updateReportedLoad(EndpointId.of("a"), ReportedLoad.of(3, 0, 4), nowNanos);
    assertThat(place(3)).containsExactly("a");
  }

  @Test
  void shouldSendMoreToFasterEndpointWhenServiceTimesAreKnown() {
    pool.update(List.of(endpoint("fast", LOCAL, 20), endpoint("slow", LOCAL, 20)));
    pool.recordServiceTime(EndpointId.of("fast"), 10, nowNanos);
    pool.recordServiceTime(EndpointId.of("slow"), 50, nowNanos);
    List<String> placed = place(12);
    assertThat(placed.stream().filter("fast"::equals).count()).isBetween(9L, 11L);
  }

  @Test
  void shouldAvoidEndpointInSlowSpellWhenItReportsWorkTime() {
    pool.update(List.of(endpoint("a", LOCAL, 20), endpoint("b", LOCAL, 20)));
    pool.updateReportedLoad(
        EndpointId.of("a"), ReportedLoad.of(0, 0, 20).withWorkTime(250), nowNanos);
    assertThat(place(10).stream().filter("b"::equals).count()).isBetween(6L, 8L);
  }

  @Test
  void shouldUseEndpointAgainWhenReportOfSlowSpellIsOld() {
    pool.update(List.of(endpoint("a", LOCAL, 20), endpoint("b", LOCAL, 20)));
    pool.updateReportedLoad(
        EndpointId.of("a"), ReportedLoad.of(0, 0, 20).withWorkTime(250), nowNanos);
    nowNanos += 3 * SECOND_NANOS;
    assertThat(place(10).stream().filter("b"::equals).count()).isEqualTo(5);
  }

  @Test
  void shouldNotLearnThatEndpointIsSlowWhenItOnlyHadSlowSpell() {
    pool.update(List.of(endpoint("a", LOCAL, 20), endpoint("b", LOCAL, 20)));
    pool.updateReportedLoad(
        EndpointId.of("a"), ReportedLoad.of(0, 0, 20).withWorkTime(250), nowNanos);
    pool.recordServiceTime(EndpointId.of("a"), 250, nowNanos);
    pool.recordServiceTime(EndpointId.of("b"), 100, nowNanos);
    nowNanos += 3 * SECOND_NANOS;
    assertThat(place(10).stream().filter("b"::equals).count()).isEqualTo(5);
  }

  @Test
  void shouldServeHigherTiersFirstWhenSlotBecomesFree() {
    pool.update(List.of(endpoint("a", LOCAL, 1)));
    place(1);
    add("low", Tier.THREE);
    add("high", Tier.ONE);
    pool.decide(nowNanos);
    pool.end(EndpointId.of("a"), AttemptResult.ANSWERED, nowNanos, nowNanos);
    assertThat(decideAndGetPlacedIds()).containsExactly("high");
  }

  @Test
  void shouldServeOnTimeRequestsFirstWhenOthersAreLate() {
    pool.update(List.of(endpoint("a", LOCAL, 1)));
    place(1);
    pool.add(
        request(
            "late",
            Tier.TWO,
            nowNanos,
            nowNanos + SECOND_NANOS / 10,
            nowNanos + 60 * SECOND_NANOS));
    pool.add(
        request(
            "onTime",
            Tier.TWO,
            nowNanos + 1,
            nowNanos + 5 * SECOND_NANOS,
            nowNanos + 60 * SECOND_NANOS));
    pool.decide(nowNanos);
    nowNanos += SECOND_NANOS;
    pool.end(EndpointId.of("a"), AttemptResult.ANSWERED, nowNanos, nowNanos);
    assertThat(decideAndGetPlacedIds()).containsExactly("onTime");
  }

  @Test
  void shouldRefuseWhenAllEndpointsAreLeavingOrWereTried() {
    pool.update(List.of(leavingEndpoint("a"), endpoint("b", LOCAL, 4)));
    pool.add(
        new WaitingRequest(
            "r",
            Tier.ONE,
            nowNanos,
            nowNanos + SECOND_NANOS,
            nowNanos + SECOND_NANOS,
            0,
            Set.of(EndpointId.of("b"))));
    assertThat(pool.decide(nowNanos))
        .singleElement()
        .isInstanceOfSatisfying(
            PlacementDecision.Refused.class,
            refused ->
                assertThat(refused.reason()).isEqualTo(PlacementDecision.Reason.NO_ENDPOINT));
  }

  @Test
  void shouldPauseEndpointWhenItFailsTwiceConsecutively() {
    pool.update(List.of(endpoint("bad", LOCAL, 4), endpoint("good", REMOTE, 4)));
    place(1);
    pool.end(EndpointId.of("bad"), AttemptResult.FAILED, nowNanos, nowNanos);
    assertThat(place(1)).containsExactly("bad");
    pool.end(EndpointId.of("bad"), AttemptResult.FAILED, nowNanos, nowNanos);
    assertThat(place(2)).containsExactly("good", "good");
    nowNanos += SECOND_NANOS;
    assertThat(place(1)).containsExactly("bad");
  }

  @Test
  void shouldKeepRequestedPauseWhenAnotherRequestIsAnswered() {
    pool.update(List.of(endpoint("a", LOCAL, 4), endpoint("b", REMOTE, 4)));
    place(2);
    pool.pause(EndpointId.of("a"), Duration.ofSeconds(2), nowNanos);
    pool.end(EndpointId.of("a"), AttemptResult.ANSWERED, nowNanos, nowNanos);
    assertThat(place(2)).containsOnly("b");
    nowNanos += 2 * SECOND_NANOS;
    assertThat(place(1)).containsExactly("a");
  }

  /** Guards against an endpoint that gets requests during its pause, as its entry lapsed. */
  @Test
  void shouldKeepRequestedPauseAndRequestsInFlightWhenEntryLapsesAndReturns() {
    pool.update(List.of(endpoint("a", LOCAL, 4), endpoint("b", LOCAL, 4)));
    assertThat(place(8)).hasSize(8);
    pool.pause(EndpointId.of("a"), Duration.ofMillis(200), nowNanos);
    pool.update(List.of(endpoint("b", LOCAL, 4)));
    pool.end(EndpointId.of("a"), AttemptResult.CANCELLED, nowNanos, nowNanos);
    nowNanos += SECOND_NANOS / 10;
    pool.update(List.of(endpoint("a", LOCAL, 4), endpoint("b", LOCAL, 4)));
    assertThat(place(1)).isEmpty();
    nowNanos += SECOND_NANOS / 5;
    assertThat(place(2)).containsExactly("a");
  }

  @Test
  void shouldRefuseAtOnceWhenAllEndpointsPauseForLongerThanRequestMayWait() {
    pool.update(List.of(endpoint("a", LOCAL, 4)));
    pool.pause(EndpointId.of("a"), Duration.ofSeconds(40), nowNanos);
    add("r", Tier.ONE);
    assertThat(pool.decide(nowNanos))
        .singleElement()
        .isInstanceOfSatisfying(
            PlacementDecision.Refused.class,
            refused -> {
              assertThat(refused.reason()).isEqualTo(PlacementDecision.Reason.ENDPOINTS_PAUSED);
              assertThat(refused.retryAfter()).isEqualTo(Duration.ofSeconds(40));
            });
  }

  @Test
  void shouldRefuseAtOnceWhenExpectedWaitExceedsTimeLeft() {
    pool.update(List.of(endpoint("a", LOCAL, 1)));
    place(1);
    pool.end(EndpointId.of("a"), AttemptResult.ANSWERED, nowNanos - 2 * SECOND_NANOS, nowNanos);
    place(1);
    pool.add(
        request(
            "patient", Tier.TWO, nowNanos, nowNanos + SECOND_NANOS, nowNanos + 10 * SECOND_NANOS));
    pool.add(
        request(
            "hurried",
            Tier.TWO,
            nowNanos + 1,
            nowNanos + SECOND_NANOS,
            nowNanos + 3 * SECOND_NANOS));
    assertThat(pool.decide(nowNanos))
        .singleElement()
        .isInstanceOfSatisfying(
            PlacementDecision.Refused.class,
            refused -> {
              assertThat(refused.request().id()).isEqualTo("hurried");
              assertThat(refused.retryAfter()).isEqualTo(Duration.ofSeconds(4));
            });
  }

  @Test
  void shouldAvoidEndpointWhenItsPrefillOfLongPromptIsNotFinished() {
    pool.update(List.of(endpoint("a", LOCAL, 10), endpoint("b", LOCAL, 10)));
    pool.add(
        new WaitingRequest(
            "long", Tier.ONE, nowNanos, nowNanos, nowNanos + SECOND_NANOS, 30_000, Set.of()));
    pool.decide(nowNanos);
    assertThat(place(5)).containsOnly("b");
    pool.endPrefill(EndpointId.of("a"), 30_000);
    assertThat(place(4)).containsOnly("a");
  }

  @Test
  void shouldRefuseWaitingRequestWhenHalfOfItsTimeHasPassed() {
    pool.update(List.of(endpoint("a", LOCAL, 1)));
    place(1);
    add("waiting", Tier.ONE);
    assertThat(pool.decide(nowNanos)).isEmpty();
    nowNanos += 31 * SECOND_NANOS;
    assertThat(pool.decide(nowNanos))
        .singleElement()
        .isInstanceOfSatisfying(
            PlacementDecision.Refused.class,
            refused ->
                assertThat(refused.reason()).isEqualTo(PlacementDecision.Reason.WAITED_TOO_LONG));
  }

  @Test
  void shouldPlaceRetryWhenItsTargetLatencyHasPassed() {
    PoolPlacement current =
        PoolPlacement.of(
            LOCAL,
            QueueOrder.byTierOnTimeFirst(),
            WaitLimit.untilTargetLatency(),
            new SplittableRandom(1));
    current.update(List.of(endpoint("a", LOCAL, 4), endpoint("b", LOCAL, 4)));
    long arrivedNanos = nowNanos;
    nowNanos += 3 * SECOND_NANOS;
    current.add(
        new WaitingRequest(
            "retry",
            Tier.ONE,
            arrivedNanos,
            arrivedNanos + SECOND_NANOS,
            arrivedNanos + 4 * SECOND_NANOS,
            0,
            Set.of(EndpointId.of("a"))));
    assertThat(current.decide(nowNanos))
        .singleElement()
        .isInstanceOf(PlacementDecision.Placed.class);
  }

  @Test
  void shouldLetRetryWaitForSlotWhenItsTargetLatencyHasPassed() {
    WaitLimit limit = WaitLimit.untilTargetLatency();
    WaitingRequest first =
        request("first", Tier.ONE, nowNanos, nowNanos + SECOND_NANOS, nowNanos + 4 * SECOND_NANOS);
    WaitingRequest retry =
        new WaitingRequest(
            "retry",
            Tier.ONE,
            nowNanos,
            nowNanos + SECOND_NANOS,
            nowNanos + 4 * SECOND_NANOS,
            0,
            Set.of(EndpointId.of("a")));
    assertThat(limit.maxWaitNanos(first, nowNanos)).isEqualTo(SECOND_NANOS);
    assertThat(limit.maxWaitNanos(retry, nowNanos)).isEqualTo(2 * SECOND_NANOS);
  }

  @Test
  void shouldRemoveWaitingRequestWhenItsCallerDisconnects() {
    pool.update(List.of(endpoint("a", LOCAL, 1)));
    place(1);
    add("gone", Tier.ONE);
    assertThat(pool.remove("gone")).isTrue();
    assertThat(pool.remove("gone")).isFalse();
    pool.end(EndpointId.of("a"), AttemptResult.ANSWERED, nowNanos, nowNanos);
    assertThat(pool.decide(nowNanos)).isEmpty();
  }

  /**
   * Guards against requests that wait for, or are told, less than the limits of endpoints allow.
   */
  @Test
  void shouldRefuseByRateThatIsLeftWhenAllEndpointsHaveLimits() {
    Set<EndpointId> permitted = new HashSet<>(Set.of(EndpointId.of("a")));
    pool.setPermits(limited(permitted, 2, SECOND_NANOS));
    pool.update(List.of(endpoint("a", LOCAL, 40), endpoint("b", LOCAL, 40)));
    pool.add(request("first", Tier.TWO, nowNanos, nowNanos, nowNanos + 4 * SECOND_NANOS));
    pool.add(request("second", Tier.TWO, nowNanos, nowNanos, nowNanos + 4 * SECOND_NANOS));
    pool.add(request("short", Tier.TWO, nowNanos, nowNanos, nowNanos + SECOND_NANOS));
    List<PlacementDecision> decisions = pool.decide(nowNanos);
    assertThat(decisions).hasSize(2);
    assertThat(decisions.get(0)).isInstanceOf(PlacementDecision.Placed.class);
    PlacementDecision.Refused refused = (PlacementDecision.Refused) decisions.get(1);
    assertThat(refused.request().id()).isEqualTo("short");
    assertThat(refused.retryAfter()).isGreaterThanOrEqualTo(Duration.ofSeconds(1));
    assertThat(pool.waiting()).isEqualTo(1);
  }

  @Test
  void shouldUseOtherEndpointsWhenOneIsAtItsLimit() {
    pool.setPermits(limited(new HashSet<>(), 2, SECOND_NANOS));
    pool.update(List.of(endpoint("a", LOCAL, 4), endpoint("free", LOCAL, 4)));
    assertThat(place(4)).containsExactly("free", "free", "free", "free");
  }

  /** Permits for all endpoints but the one that is called free. */
  private static EndpointPermits limited(Set<EndpointId> permitted, double rate, long waitNanos) {
    return new EndpointPermits() {
      @Override
      public OptionalDouble requestsPerSecond(EndpointId endpoint) {
        return endpoint.value().equals("free") ? OptionalDouble.empty() : OptionalDouble.of(rate);
      }

      @Override
      public boolean isAvailable(EndpointId endpoint, long nowNanos) {
        return requestsPerSecond(endpoint).isEmpty() || permitted.contains(endpoint);
      }

      @Override
      public void use(EndpointId endpoint, long nowNanos) {
        permitted.remove(endpoint);
      }

      @Override
      public long expectedWaitNanos(EndpointId endpoint, long nowNanos) {
        return isAvailable(endpoint, nowNanos) ? 0 : waitNanos;
      }
    };
  }

  private List<String> place(int count) {
    for (int request = 0; request < count; request++) {
      add("r" + addedRequests++, Tier.TWO);
    }
    List<String> placed = new ArrayList<>();
    for (PlacementDecision decision : pool.decide(nowNanos)) {
      placed.add(((PlacementDecision.Placed) decision).endpoint().id().value());
    }
    return placed;
  }

  private List<String> decideAndGetPlacedIds() {
    return pool.decide(nowNanos).stream()
        .filter(PlacementDecision.Placed.class::isInstance)
        .map(decision -> decision.request().id())
        .toList();
  }

  private void add(String id, Tier tier) {
    pool.add(request(id, tier, nowNanos, nowNanos + SECOND_NANOS, nowNanos + 60 * SECOND_NANOS));
  }

  private static WaitingRequest request(
      String id,
      Tier tier,
      long arrivedNanos,
      long onTimeUntilNanos,
      long latestResponseStartNanos) {
    return new WaitingRequest(
        id, tier, arrivedNanos, onTimeUntilNanos, latestResponseStartNanos, 0, Set.of());
  }

  private static RegisteredEndpoint endpoint(String id, FailureDomain domain, int slots) {
    return new RegisteredEndpoint(
        EndpointId.of(id), 1, PoolName.of("planner"), domain, "127.0.0.1", 1, slots, false);
  }

  private static RegisteredEndpoint leavingEndpoint(String id) {
    return new RegisteredEndpoint(
        EndpointId.of(id), 1, PoolName.of("planner"), LOCAL, "127.0.0.1", 1, 4, true);
  }
}
