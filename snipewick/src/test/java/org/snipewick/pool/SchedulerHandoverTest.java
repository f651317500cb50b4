package org.snipewick.pool;

import static org.assertj.core.api.Assertions.assertThat;
import static org.snipewick.pool.PoolFixtures.endpoint;
import static org.snipewick.pool.PoolFixtures.work;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.snipewick.identity.InstanceId;
import org.snipewick.identity.RequestId;
import org.snipewick.membership.Member;
import org.snipewick.membership.MembershipView;
import org.snipewick.membership.SettableMembership;
import org.snipewick.peer.InMemoryPeers;
import org.snipewick.peer.PeerMessage;
import org.snipewick.peer.PeerNetwork;
import org.snipewick.time.VirtualTimerService;

/**
 * Guards against a new scheduler granting a slot that is still in use by a request of the previous
 * one. The cases were found by checking the model spec/handover.pml.
 */
class SchedulerHandoverTest {
  private static final long PAST_GRACE_MILLIS = 700;

  @Test
  void shouldWaitForAdoptedRequestWhenPausedSchedulerResumes() {
    PoolCluster cluster = new PoolCluster("a.1", "a.2", "a.3");
    cluster.updateEndpoint("a", endpoint("x", 1));
    String scheduler = cluster.scheduler("a");
    String entry = cluster.entry("a");
    finish(granted(cluster, work(entry, 1, 2)));

    cluster.membership(scheduler).setActive(false, 0);
    cluster.setState(scheduler, Member.State.DEAD);
    final PoolClient.Permit running = granted(cluster, work(entry, 2, 2));
    cluster.membership(scheduler).setActive(true, 10_000);
    final var early = cluster.acquire(work(scheduler, 1, 2));
    cluster.run(5);
    cluster.setState(scheduler, Member.State.ALIVE);
    cluster.run(PAST_GRACE_MILLIS);
    assertThat(early).as("grant of the slot in use").isNotDone();

    finish(running);
    cluster.run(PAST_GRACE_MILLIS);
    assertThat(early).isCompleted();
  }

  @Test
  void shouldNotWithdrawUsedPermitWhenDuplicateGrantArrivesAfterSchedulerChange() {
    VirtualTimerService timer = VirtualTimerService.of(0);
    InMemoryPeers peers = new InMemoryPeers(timer, Duration.ofMillis(1));
    MembershipView view = SettableMembership.viewOf("a.1", "a.1", "a.2", "a.3");
    SettableMembership membership = new SettableMembership(view);
    PeerPoolClient client =
        PeerPoolClient.start(membership, peers.join(InstanceId.of("a.1")), timer);
    WorkRequest work = work("a.1", 1, 2);
    InstanceId scheduler = Schedulers.of(view, view.localDomain(), work.pool()).orElseThrow();
    List<PeerMessage> received = new ArrayList<>();
    PeerNetwork network = peers.join(scheduler);
    record(network, PoolMessages.Report.class, received);
    PeerMessage grant =
        new PoolMessages.Decided(
            work.pool(),
            new Decision.Grant(work.id(), endpoint("x", 1).id(), 2_000),
            Optional.of(endpoint("x", 1)));

    final var permit = client.acquire(work, cancel -> {});
    timer.advance(Duration.ofMillis(10));
    network.send(InstanceId.of("a.1"), grant);
    timer.advance(Duration.ofMillis(10));
    assertThat(permit.join().use()).isTrue();
    membership.setView(
        MembershipView.ofAll(
            view.self(),
            view.members().values().stream()
                .map(each -> each.id().equals(scheduler) ? leaving(each) : each)
                .toList()));
    timer.advance(Duration.ofMillis(10));
    network.send(InstanceId.of("a.1"), grant);
    timer.advance(Duration.ofMillis(10));
    assertThat(received).isEmpty();
  }

  @Test
  void shouldRequestAdoptionWhenRunningRequestIsOnlyQueued() {
    PoolCluster cluster = new PoolCluster("a.1", "a.2", "a.3");
    cluster.updateEndpoint("a", endpoint("x", 1));
    InstanceId scheduler = InstanceId.of(cluster.scheduler("a"));
    assertThat(granted(cluster, work(cluster.entry("a"), 1, 2)).use()).isTrue();
    PeerNetwork network = cluster.peers.join(InstanceId.of("a.9"));
    List<PeerMessage> received = new ArrayList<>();
    record(network, PoolMessages.UnknownRequests.class, received);
    WorkRequest work = work("a.9", 1, 2);
    network.send(scheduler, new PoolMessages.Offer(work));
    cluster.run(10);

    network.send(
        scheduler, new PoolMessages.Heartbeat(work.pool(), 1, List.of(), List.of(1L), List.of(5)));
    cluster.run(10);
    RequestId id = work.id();
    assertThat(received)
        .containsExactly(new PoolMessages.UnknownRequests(work.pool(), List.of(id)));
  }

  private static Member leaving(Member member) {
    return member.withState(Member.State.LEAVING);
  }

  private static <T extends PeerMessage> void record(
      PeerNetwork network, Class<T> type, List<PeerMessage> received) {
    network.handle(
        type,
        (from, message) -> {
          received.add(message);
          return CompletableFuture.completedFuture(null);
        });
  }

  private static PoolClient.Permit granted(PoolCluster cluster, WorkRequest work) {
    CompletableFuture<PoolClient.Permit> permit = cluster.acquire(work);
    cluster.run(PAST_GRACE_MILLIS);
    assertThat(permit).isCompleted();
    return permit.join();
  }

  private static void finish(PoolClient.Permit permit) {
    permit.use();
    permit.finish(WorkEvent.Result.COMPLETE, 1);
  }
}
