package org.snipewick.pool;

import static org.assertj.core.api.Assertions.assertThat;
import static org.snipewick.pool.PoolFixtures.endpoint;
import static org.snipewick.pool.PoolFixtures.withPrefix;
import static org.snipewick.pool.PoolFixtures.work;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.snipewick.failure.FailureType;
import org.snipewick.identity.EndpointId;
import org.snipewick.identity.InstanceId;
import org.snipewick.identity.Tier;

class PoolSchedulerTest {
  private static final long NANOS_PER_MILLI = 1_000_000L;

  private final PoolScheduler scheduler =
      PoolScheduler.of(PoolPolicy.standard(), SchedulerSettings.defaults());

  @Test
  void shouldGrantAtOnceWhenSlotIsFree() {
    scheduler.updateEndpoint(endpoint("a", 1), 0);

    assertThat(scheduler.offer(work("e", 1, 2), 0))
        .singleElement()
        .isInstanceOfSatisfying(
            Decision.Grant.class,
            grant -> assertThat(grant.endpoint()).isEqualTo(EndpointId.of("a")));
  }

  @ParameterizedTest
  @EnumSource(
      value = EndpointStatus.State.class,
      names = {"LEAVING", "UNREACHABLE"})
  void shouldRefuseAtOnceWhenNoEndpointIsLive(EndpointStatus.State state) {
    scheduler.updateEndpoint(endpoint("a", 8), 0);
    scheduler.updateEndpoint(endpoint("a", 8).withState(state), 0);

    assertThat(reasons(scheduler.offer(work("e", 1, 1), 0)))
        .containsExactly(FailureType.NO_ENDPOINT);
  }

  @Test
  void shouldGrantHigherTierFirstWhenSlotBecomesFree() {
    scheduler.updateEndpoint(endpoint("a", 1), 0);
    scheduler.offer(work("e", 1, 4), 0);
    scheduler.offer(work("e", 2, 3), 0);
    scheduler.offer(work("e", 3, 1), 0);

    List<Decision> decisions = scheduler.handleEvent(finished(1), NANOS_PER_MILLI);

    assertThat(decisions)
        .singleElement()
        .isInstanceOfSatisfying(
            Decision.Grant.class,
            grant -> assertThat(grant.request()).isEqualTo(work("e", 3, 1).id()));
  }

  @Test
  void shouldRefuseAtOnceWhenNoEndpointCanMeetDeadline() {
    scheduler.updateEndpoint(endpoint("a", 8), 0);

    List<Decision> decisions = scheduler.offer(work("e", 1, 1, "team", 30_000, 100), 0);

    assertThat(reasons(decisions)).containsExactly(FailureType.DEADLINE_UNREACHABLE);
    assertThat(((Decision.Refuse) decisions.get(0)).retryAfterMillis()).isPositive();
  }

  @ParameterizedTest
  @CsvSource({"1, 4", "1, 2", "2, 3", "3, 4"})
  void shouldShedAllLowerTiersFirstWhenHigherOneIsShed(int higher, int lower) {
    scheduler.updateEndpoint(endpoint("a", 1), 0);
    scheduler.offer(work("e", 1, 1), 0);
    scheduler.offer(work("e", 2, lower, "team", 100, 60_000), 0);
    scheduler.offer(work("e", 3, lower, "team", 100, 60_000), 0);
    scheduler.offer(work("e", 4, higher, "team", 100, 2_000), 0);

    List<Decision> decisions = scheduler.tick(1_900 * NANOS_PER_MILLI);

    assertThat(decisions)
        .extracting(decision -> decision.request().sequence())
        .containsExactly(3L, 2L, 4L);
    assertThat(reasons(decisions)).containsOnly(FailureType.SHED);
  }

  @Test
  void shouldKeepLowerTiersWhenHigherOneCannotMeetDeadlineOnArrival() {
    scheduler.updateEndpoint(endpoint("a", 16), 0);
    for (int i = 0; i < 16; i++) {
      scheduler.offer(work("e", i, 1), 0);
    }
    scheduler.offer(work("e", 16, 4), 0);
    scheduler.offer(work("e", 17, 4), 0);

    List<Decision> decisions = scheduler.offer(work("e", 18, 1, "team", 100, 1_250), 0);

    assertThat(decisions).extracting(each -> each.request().sequence()).containsExactly(18L);
    assertThat(reasons(decisions)).containsExactly(FailureType.DEADLINE_UNREACHABLE);
    assertThat(scheduler.isWaiting(work("e", 16, 4).id())).isTrue();
    assertThat(scheduler.isWaiting(work("e", 17, 4).id())).isTrue();
  }

  @ParameterizedTest
  @CsvSource({"2, 1", "3, 0", "4, 0"})
  void shouldShedOnArrivalByForecastWaitOnlyWhenNoLowerTierWaits(int otherTier, int shed) {
    scheduler.updateEndpoint(endpoint("a", 1), 0);
    for (int i = 0; i < 40; i++) {
      scheduler.offer(work("e", i, 2), 0);
    }
    for (int i = 0; i < 30; i++) {
      scheduler.handleEvent(finished(i), 500L * (i + 1) * NANOS_PER_MILLI);
      scheduler.tick(500L * (i + 1) * NANOS_PER_MILLI);
    }
    long now = 15_000 * NANOS_PER_MILLI;
    scheduler.offer(work("e", 50, otherTier), now);

    List<Decision> decisions = scheduler.offer(work("e", 51, 2, "team", 100, 3_000), now);

    assertThat(reasons(decisions)).isEqualTo(Collections.nCopies(shed, FailureType.SHED));
    assertThat(scheduler.isWaiting(work("e", 50, otherTier).id())).isTrue();
    // If it was not shed on arrival, both are shed once its deadline cannot be met.
    assertThat(reasons(scheduler.tick(17_900 * NANOS_PER_MILLI))).hasSize(2 - 2 * shed);
  }

  @Test
  void shouldNotShedHigherTierWhenLowerOneIsLate() {
    scheduler.updateEndpoint(endpoint("a", 1), 0);
    scheduler.offer(work("e", 1, 1), 0);
    scheduler.offer(work("e", 2, 1), 0);
    scheduler.offer(work("e", 3, 4, "team", 100, 2_000), 0);

    assertThat(scheduler.tick(1_900 * NANOS_PER_MILLI))
        .extracting(decision -> decision.request().sequence())
        .containsExactly(3L);
    assertThat(scheduler.summary(1_900 * NANOS_PER_MILLI).shedTier()).contains(Tier.FOUR);
  }

  @Test
  void shouldReserveSlotsForHighestTierWhenLowerOnesFillEndpoint() {
    scheduler.updateEndpoint(endpoint("a", 10), 0);
    for (int i = 0; i < 20; i++) {
      scheduler.offer(work("e", i, 3), 0);
    }
    assertThat(scheduler.summary(0).inFlight()).isEqualTo(9);

    assertThat(grantedSequences(scheduler.offer(work("e", 100, 1), 0))).hasSize(1);
  }

  @Test
  void shouldServeTeamsFairlyWhenOneHasOfferedMore() {
    scheduler.updateEndpoint(endpoint("a", 1), 0);
    scheduler.offer(work("e", 0, 2), 0);
    for (int i = 1; i <= 10; i++) {
      scheduler.offer(work("e", i, 2, "large", 100, 60_000), 0);
    }
    scheduler.offer(work("e", 11, 2, "small", 100, 60_000), 0);

    List<Decision> decisions = new ArrayList<>();
    decisions.addAll(scheduler.handleEvent(finished(0), NANOS_PER_MILLI));
    decisions.addAll(scheduler.handleEvent(finished(1), 2 * NANOS_PER_MILLI));

    assertThat(grantedSequences(decisions)).contains(11L);
  }

  @Test
  void shouldGrantLaterRequestWhenManyBeforeItCannotUseFreeEndpoint() {
    scheduler.updateEndpoint(endpoint("a", 2), 0);
    scheduler.offer(work("e", 0, 2, "team", 100, 2_000), 0);
    scheduler.updateEndpoint(endpoint("b", 1), 0);
    for (int i = 1; i <= 31; i++) {
      scheduler.offer(work("e", i, 2, "team", 8_000, 60_000), 0);
    }
    assertThat(scheduler.summary(0).inFlight()).isEqualTo(2);
    scheduler.offer(work("e", 32, 2, "team", 10, 60_000), 0);

    assertThat(scheduler.isWaiting(work("e", 32, 2).id())).isFalse();
  }

  @Test
  void shouldPreferCachedPrefixWhenLoadIsEqualAndOtherEndpointWhenItIsNot() {
    scheduler.updateEndpoint(endpoint("a", 16), 0);
    scheduler.updateEndpoint(endpoint("b", 16), 0);
    Long[] hashes = new Long[60];
    for (int i = 0; i < hashes.length; i++) {
      hashes[i] = (long) i;
    }
    EndpointId first = grantedEndpoint(withPrefix(work("e", 0, 2, "team", 3_900, 60_000), hashes));
    scheduler.handleEvent(finished(0), 0);

    assertThat(grantedEndpoint(withPrefix(work("e", 1, 2, "team", 3_900, 60_000), hashes)))
        .isEqualTo(first);
    for (int i = 2; i < 14; i++) {
      scheduler.offer(withPrefix(work("e", i, 2, "team", 3_900, 60_000), hashes), 0);
    }
    scheduler.applyCacheEvents(first, List.of(), List.of(hashes));
    assertThat(grantedEndpoint(withPrefix(work("e", 50, 2, "team", 3_900, 60_000), hashes)))
        .isNotEqualTo(first);
  }

  @Test
  void shouldAvoidEndpointWhenItBecomesStraggler() {
    scheduler.updateEndpoint(endpoint("a", 8), 0);
    scheduler.updateEndpoint(endpoint("b", 8), 0);
    EndpointId slow = grantedEndpoint(work("e", 0, 2));
    long now = reportProgress(0, 100, 20, 0);
    reportProgress(0, 30, 100, now);

    for (int i = 1; i < 8; i++) {
      assertThat(grantedEndpoint(work("e", i, 2))).isNotEqualTo(slow);
    }
  }

  @Test
  void shouldReleaseGrantWhenEntryInstanceDoesNotListIt() {
    scheduler.updateEndpoint(endpoint("a", 1), 0);
    scheduler.offer(work("e", 1, 2), 0);
    scheduler.offer(work("f", 2, 2), 0);

    assertThat(scheduler.reconcile(InstanceId.of("e"), Set.of(), 1_000 * NANOS_PER_MILLI))
        .isEmpty();
    assertThat(
            grantedSequences(
                scheduler.reconcile(InstanceId.of("e"), Set.of(), 5_000 * NANOS_PER_MILLI)))
        .containsExactly(2L);
  }

  @Test
  void shouldReleaseGrantsWhenEntryInstanceFails() {
    scheduler.updateEndpoint(endpoint("a", 1), 0);
    scheduler.offer(work("e", 1, 2), 0);
    scheduler.offer(work("f", 2, 2), 0);

    assertThat(grantedSequences(scheduler.removeEntryInstance(InstanceId.of("e"), NANOS_PER_MILLI)))
        .containsExactly(2L);
  }

  @Test
  void shouldCountAdoptedRequestAndKeepArrivalOrderWhenSchedulerTakesOver() {
    scheduler.beginTakeover(0);
    scheduler.updateEndpoint(endpoint("a", 1), 0);
    WorkRequest laterArrival = work("e", 1, 2);
    assertThat(scheduler.offer(laterArrival, 10 * NANOS_PER_MILLI)).isEmpty();
    assertThat(scheduler.offer(waited(work("e", 2, 2), 700), 20 * NANOS_PER_MILLI)).isEmpty();
    scheduler.handleEvent(
        new WorkEvent.Adopted(work("f", 3, 2), EndpointId.of("a"), 5), 30 * NANOS_PER_MILLI);

    assertThat(scheduler.tick(600 * NANOS_PER_MILLI)).isEmpty();
    assertThat(
            grantedSequences(
                scheduler.handleEvent(
                    new WorkEvent.Finished(work("f", 3, 2).id(), WorkEvent.Result.COMPLETE, 9),
                    700 * NANOS_PER_MILLI)))
        .containsExactly(2L);
  }

  private static WorkRequest waited(WorkRequest work, long millis) {
    return new WorkRequest(
        work.id(),
        work.team(),
        work.pool(),
        work.tier(),
        work.promptTokens(),
        work.maxOutputTokens(),
        work.prefixHashes(),
        millis,
        work.remainingMillis());
  }

  private long reportProgress(long sequence, int samples, long millisPerToken, long startNanos) {
    var id = work("e", sequence, 2).id();
    int tokens =
        scheduler.status(EndpointId.of("a")).isPresent()
            ? (int) (startNanos / NANOS_PER_MILLI) + 1
            : 1;
    scheduler.handleEvent(new WorkEvent.FirstToken(id, 50), startNanos);
    long now = startNanos;
    for (int i = 0; i < samples; i++) {
      now += 10 * millisPerToken * NANOS_PER_MILLI;
      tokens += 10;
      scheduler.handleEvent(new WorkEvent.Progress(id, tokens), now);
    }
    return now;
  }

  private EndpointId grantedEndpoint(WorkRequest work) {
    List<Decision> decisions = scheduler.offer(work, 0);
    return ((Decision.Grant) decisions.get(0)).endpoint();
  }

  private static WorkEvent finished(long sequence) {
    return new WorkEvent.Finished(work("e", sequence, 1).id(), WorkEvent.Result.COMPLETE, 32);
  }

  private static List<Long> grantedSequences(List<Decision> decisions) {
    return decisions.stream()
        .filter(Decision.Grant.class::isInstance)
        .map(decision -> decision.request().sequence())
        .toList();
  }

  private static List<FailureType> reasons(List<Decision> decisions) {
    return decisions.stream().map(decision -> ((Decision.Refuse) decision).reason()).toList();
  }
}
