package org.snipewick.pool;

import static org.assertj.core.api.Assertions.assertThat;
import static org.snipewick.pool.PoolFixtures.endpoint;
import static org.snipewick.pool.PoolFixtures.work;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.snipewick.event.EventType;
import org.snipewick.failure.Failure;
import org.snipewick.failure.FailureException;
import org.snipewick.failure.FailureType;
import org.snipewick.failure.Outcome;
import org.snipewick.identity.EndpointId;
import org.snipewick.identity.InstanceId;
import org.snipewick.membership.Member;

class PoolControllerTest {
  private static final long PAST_GRACE_MILLIS = 700;

  private final PoolCluster cluster = new PoolCluster("a.1", "a.2", "a.3", "b.1", "b.2");

  @Test
  void shouldGrantWhenSchedulerIsOnOtherInstance() {
    cluster.updateEndpoint("a", endpoint("x", 4));
    PoolClient.Permit permit = granted(cluster.acquire(work(cluster.entry("a"), 1, 2)));

    assertThat(permit.endpoint().id().value()).isEqualTo("x");
    assertThat(permit.use()).isTrue();
    assertThat(permit.use()).isFalse();
  }

  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void shouldKeepArrivalOrderAndRunningRequestWhenSchedulerChanges(boolean crash) {
    cluster.updateEndpoint("a", endpoint("x", 1));
    String entry = cluster.entry("a");
    PoolClient.Permit running = granted(cluster.acquire(work(entry, 1, 2)));
    assertThat(running.use()).isTrue();
    List<Long> order = new ArrayList<>();
    for (long sequence = 2; sequence <= 4; sequence++) {
      final long number = sequence;
      var unused =
          cluster
              .acquire(work(entry, sequence, 2))
              .thenAccept(
                  permit -> {
                    order.add(number);
                    permit.use();
                    permit.finish(WorkEvent.Result.COMPLETE, 5);
                  });
      cluster.run(20);
    }
    String scheduler = cluster.scheduler("a");
    if (crash) {
      cluster.crash(scheduler);
    } else {
      cluster.setState(scheduler, Member.State.LEAVING);
    }
    cluster.run(3_000);
    assertThat(cluster.scheduler("a")).isNotEqualTo(scheduler);
    assertThat(order).as("grants while the endpoint is full").isEmpty();

    running.finish(WorkEvent.Result.COMPLETE, 10);
    running.finish(WorkEvent.Result.COMPLETE, 10);
    cluster.run(1_000);
    assertThat(order).containsExactly(2L, 3L, 4L);
  }

  @Test
  void shouldLogStateBeforeDecisionWhenItDecides() {
    cluster.updateEndpoint("a", endpoint("x", 2));
    granted(cluster.acquire(work(cluster.entry("a"), 1, 2)));
    cluster.recordLoadReport(EndpointId.of("x"));
    cluster.run(40);
    granted(cluster.acquire(work(cluster.entry("a"), 2, 2)));

    assertThat(cluster.events)
        .filteredOn(event -> event.type() == EventType.SCHEDULER_DECIDED)
        .last()
        .satisfies(
            event ->
                assertThat(event.details())
                    .containsEntry("inFlight", 1)
                    .hasEntrySatisfying(
                        "reportAgeMillis", age -> assertThat((Long) age).isBetween(40L, 60L)));
  }

  @Test
  void shouldOfferAgainWhenGrantIsLost() {
    cluster.updateEndpoint("a", endpoint("x", 1));
    granted(cluster.acquire(work(cluster.scheduler("a"), 1, 2)))
        .finish(WorkEvent.Result.COMPLETE, 1);
    cluster.run(100);
    String entry = cluster.entry("a");
    InstanceId entryInstance = InstanceId.of(entry);
    InstanceId scheduler = InstanceId.of(cluster.scheduler("a"));
    final CompletableFuture<PoolClient.Permit> pending = cluster.acquire(work(entry, 1, 2));
    cluster.run(1);
    cluster.peers.cut(entryInstance, scheduler);
    cluster.run(10);
    assertThat(pending).isNotDone();
    cluster.peers.heal(entryInstance, scheduler);

    cluster.run(1_000);
    assertThat(pending).isCompleted();
  }

  @Test
  void shouldFreeSlotWhenEntryInstanceCrashes() {
    cluster.updateEndpoint("a", endpoint("x", 1));
    String entry = cluster.entry("a");
    assertThat(granted(cluster.acquire(work(entry, 1, 2))).use()).isTrue();
    var waiting = cluster.acquire(work(cluster.scheduler("a"), 1, 2));
    cluster.run(100);
    assertThat(waiting).isNotDone();

    cluster.crash(entry);
    cluster.run(100);
    assertThat(waiting).isCompleted();
  }

  @Test
  void shouldFreeSlotAndForbidUseWhenGrantExpires() {
    cluster.updateEndpoint("a", endpoint("x", 1));
    final PoolClient.Permit unused = granted(cluster.acquire(work(cluster.entry("a"), 1, 2)));
    var waiting = cluster.acquire(work(cluster.entry("a"), 2, 2));
    cluster.run(1_000);
    assertThat(waiting).isNotDone();

    cluster.run(2_000);
    assertThat(unused.use()).isFalse();
    assertThat(waiting).isCompleted();
  }

  @Test
  void shouldOfferToOtherDomainWhenLocalOneHasNoEndpoint() {
    cluster.updateEndpoint("b", endpoint("y", 1));

    var permit = cluster.acquire(work(cluster.entry("a"), 1, 2));
    cluster.run(PAST_GRACE_MILLIS);
    assertThat(granted(permit).endpoint().id().value()).isEqualTo("y");

    var next = cluster.acquire(work(cluster.entry("a"), 2, 2));
    cluster.run(10);
    granted(permit).finish(WorkEvent.Result.COMPLETE, 1);
    assertThat(granted(next).endpoint().id().value()).isEqualTo("y");
  }

  @Test
  void shouldRefuseAsNotRunWithRetryAfterWhenNoDomainHasCapacity() {
    cluster.updateEndpoint("a", endpoint("x", 1));
    cluster.updateEndpoint("b", endpoint("y", 1));
    cluster.run(PAST_GRACE_MILLIS);
    var refused = cluster.acquire(work(cluster.entry("a"), 1, 2, "team", 60_000, 1_500));
    cluster.run(PAST_GRACE_MILLIS * 2);

    Failure failure = failure(refused);
    assertThat(failure.type())
        .isIn(FailureType.SHED, FailureType.DEADLINE_UNREACHABLE, FailureType.DEADLINE_EXCEEDED);
    assertThat(failure.outcome()).isEqualTo(Outcome.NOT_RUN);
    assertThat(failure.retryAfter()).isPresent();
  }

  @ParameterizedTest
  @EnumSource(
      value = EndpointStatus.State.class,
      names = {"LEAVING", "UNREACHABLE"})
  void shouldGrantOtherEndpointWhenOneIsNotLive(EndpointStatus.State state) {
    cluster.updateEndpoint("a", endpoint("x", 4));
    cluster.updateEndpoint("a", endpoint("y", 4));
    granted(cluster.acquire(work(cluster.entry("a"), 0, 2)));
    cluster.updateEndpoint("a", endpoint("x", 4).withState(state));
    cluster.run(10);

    for (long sequence = 1; sequence <= 3; sequence++) {
      assertThat(
              granted(cluster.acquire(work(cluster.entry("a"), sequence, 2)))
                  .endpoint()
                  .id()
                  .value())
          .isEqualTo("y");
    }
  }

  @Test
  void shouldDecideNothingWhenSchedulerIsInactive() {
    cluster.updateEndpoint("a", endpoint("x", 4));
    cluster.membership(cluster.scheduler("a")).setActive(false, 0);
    var waiting = cluster.acquire(work(cluster.entry("a"), 1, 2));
    cluster.run(2_000);
    assertThat(waiting).isNotDone();

    cluster.membership(cluster.scheduler("a")).setActive(true, 0);
    cluster.run(1_000);
    assertThat(waiting).isCompleted();
  }

  @Test
  void shouldWithdrawRequestWhenFutureIsCancelled() {
    cluster.updateEndpoint("a", endpoint("x", 1));
    granted(cluster.acquire(work(cluster.entry("a"), 1, 2))).use();
    var withdrawn = cluster.acquire(work(cluster.entry("a"), 2, 2));
    final var next = cluster.acquire(work(cluster.entry("a"), 3, 2));
    cluster.run(100);
    withdrawn.cancel(false);
    cluster.run(200);

    assertThat(
            cluster.controller(cluster.scheduler("a")).summaries().get(PoolFixtures.POOL).waiting())
        .containsEntry(org.snipewick.identity.Tier.TWO, 1);
    assertThat(next).isNotDone();
  }

  @Test
  void shouldKeepSheddingOrderOfTiersWhenSchedulerIsReplacedUnderLoad() {
    cluster.updateEndpoint("a", endpoint("x", 2));
    for (long sequence = 0; sequence < 60; sequence++) {
      int tier = (int) (sequence % 4) + 1;
      var unused =
          cluster
              .acquire(work(cluster.entry("a"), sequence, tier, "team", 2_000, 4_000))
              .thenAccept(
                  permit -> {
                    permit.use();
                    permit.reportFirstToken();
                  });
      cluster.run(40);
    }
    cluster.crash(cluster.scheduler("a"));
    cluster.run(10_000);

    assertThat(cluster.events).extracting("type").contains(EventType.REQUEST_SHED);
    assertThat(TierOrderCheck.violations(cluster.events)).isEmpty();
  }

  private PoolClient.Permit granted(CompletableFuture<PoolClient.Permit> permit) {
    cluster.run(PAST_GRACE_MILLIS);
    assertThat(permit).isCompleted();
    return permit.join();
  }

  private static Failure failure(CompletableFuture<?> future) {
    assertThat(future).isCompletedExceptionally();
    return FailureException.unwrap(future.handle((value, thrown) -> thrown).join());
  }
}
