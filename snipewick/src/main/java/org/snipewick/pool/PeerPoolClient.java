package org.snipewick.pool;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.snipewick.failure.Failure;
import org.snipewick.failure.FailureType;
import org.snipewick.identity.FailureDomain;
import org.snipewick.identity.InstanceId;
import org.snipewick.identity.PoolName;
import org.snipewick.identity.RequestId;
import org.snipewick.membership.Membership;
import org.snipewick.membership.MembershipView;
import org.snipewick.membership.Rendezvous;
import org.snipewick.peer.PeerMessage;
import org.snipewick.peer.PeerNetwork;
import org.snipewick.time.TimerService;

/**
 * Pool client that requests grants from schedulers over the peer network. Thread-safe: all state is
 * confined to the timer's thread, on which the returned futures also complete.
 */
public final class PeerPoolClient implements PoolClient {
  private static final Duration HEARTBEAT_INTERVAL = Duration.ofMillis(500);
  private static final Duration REOFFER_DELAY = Duration.ofMillis(50);

  /** Domains in addition to the first that a request is offered to. */
  private static final int MAX_OTHER_DOMAINS = 3;

  private static final Comparator<PendingWork> BY_ARRIVAL =
      Comparator.comparingLong(PendingWork::arrivalNanos);

  private final Membership membership;
  private final PeerNetwork network;
  private final TimerService timer;
  private final Map<RequestId, PendingWork> pending = new HashMap<>();
  private final RecentRefusals refusals = new RecentRefusals();

  private PeerPoolClient(Membership membership, PeerNetwork network, TimerService timer) {
    this.membership = requireNonNull(membership, "membership");
    this.network = requireNonNull(network, "network");
    this.timer = requireNonNull(timer, "timer");
  }

  /**
   * Creates and starts a client.
   *
   * @param membership membership, whose changes assign requests to new schedulers
   * @param network peer network, on which the handlers of decisions are registered
   * @param timer timer, whose thread runs all work of the client
   * @return running client
   */
  public static PeerPoolClient start(
      Membership membership, PeerNetwork network, TimerService timer) {
    PeerPoolClient client = new PeerPoolClient(membership, network, timer);
    network.handle(
        PoolMessages.Decided.class,
        (from, decided) -> client.handleOnTimer(() -> client.onDecided(from, decided)));
    network.handle(
        PoolMessages.UnknownRequests.class,
        (from, unknown) -> client.handleOnTimer(() -> client.onUnknownRequests(from, unknown)));
    membership.subscribe((before, after) -> client.reassignAll());
    timer.every(HEARTBEAT_INTERVAL, client::sendHeartbeats);
    return client;
  }

  @Override
  public CompletableFuture<Permit> acquire(WorkRequest work, Consumer<Decision.Cancel> onCancel) {
    PendingWork added = new PendingWork(work, onCancel, timer.nanoTime());
    var unused =
        added.result.whenComplete((permit, failure) -> runOnTimer(() -> onResultDone(added)));
    runOnTimer(() -> submit(added));
    return added.result;
  }

  private CompletableFuture<PeerMessage> handleOnTimer(Runnable task) {
    runOnTimer(task);
    return CompletableFuture.completedFuture(null);
  }

  private void runOnTimer(Runnable task) {
    var unused = timer.after(Duration.ZERO, task);
  }

  private void submit(PendingWork added) {
    if (added.result.isDone()) {
      return;
    }
    WorkRequest work = added.work();
    pending.put(work.id(), added);
    var unused =
        timer.after(Duration.ofMillis(Math.max(0, work.remainingMillis())), () -> expire(added));
    MembershipView view = membership.view();
    long now = timer.nanoTime();
    FailureDomain firstDomain =
        DomainAffinity.preferredDomain(work, view)
            .filter(domain -> !refusals.hasRefused(domain, work, now))
            .orElse(view.localDomain());
    if (refusals.hadNoEndpoint(firstDomain, work.pool(), now)) {
      added.triedDomains().add(firstDomain);
      offerToNextDomain(added);
    } else {
      offerTo(added, firstDomain);
    }
  }

  private void offerTo(PendingWork work, FailureDomain domain) {
    work.assign(domain, Schedulers.of(membership.view(), domain, work.work().pool()));
    offer(work);
  }

  private void offer(PendingWork work) {
    work.scheduler()
        .ifPresentOrElse(
            to -> network.send(to, new PoolMessages.Offer(work.workAt(timer.nanoTime()))),
            () -> offerToNextDomain(work));
  }

  private void onDecided(InstanceId from, PoolMessages.Decided decided) {
    Decision decision = decided.decision();
    PendingWork work = pending.get(decision.request());
    boolean fromScheduler = work != null && work.scheduler().filter(from::equals).isPresent();
    if (decision instanceof Decision.Grant grant) {
      if (!fromScheduler && (work == null || work.isWaiting())) {
        report(from, decided.pool(), new WorkEvent.Withdrawn(grant.request()));
      } else if (fromScheduler && work.isWaiting()) {
        decided.endpoint().ifPresent(endpoint -> grant(work, grant, endpoint));
      }
    } else if (fromScheduler && decision instanceof Decision.Refuse refuse && work.isWaiting()) {
      refuse(work, refuse);
    } else if (fromScheduler && decision instanceof Decision.Cancel cancel && !work.isWaiting()) {
      work.onCancel.accept(cancel);
    }
  }

  private void grant(PendingWork work, Decision.Grant grant, EndpointStatus endpoint) {
    GrantedPermit permit =
        new GrantedPermit(
            grant.request(),
            endpoint,
            grant.validMillis(),
            timer,
            event -> runOnTimer(() -> report(work, event)));
    work.setPermit(permit);
    var unused =
        timer.after(
            Duration.ofMillis(grant.validMillis()),
            () -> {
              if (permit.expire()) {
                withdraw(work);
              }
            });
    if (!work.result.complete(permit)) {
      withdraw(work);
    }
  }

  private void refuse(PendingWork work, Decision.Refuse refuse) {
    work.recordRefusal(refuse);
    refusals.record(work.domain(), work.work(), refuse.reason(), timer.nanoTime());
    offerToNextDomain(work);
  }

  private void offerToNextDomain(PendingWork work) {
    MembershipView view = membership.view();
    long now = timer.nanoTime();
    Optional<FailureDomain> nextDomain =
        work.triedDomains().size() > MAX_OTHER_DOMAINS
            ? Optional.empty()
            : Rendezvous.rank(
                    work.work().id().toString(), view.byDomain().keySet(), FailureDomain::value)
                .stream()
                .filter(domain -> !work.triedDomains().contains(domain))
                .filter(domain -> !view.aliveIn(domain).isEmpty())
                .filter(domain -> !refusals.hasRefused(domain, work.work(), now))
                .findFirst();
    if (nextDomain.isPresent()) {
      offerTo(work, nextDomain.get());
    } else {
      fail(work, work.refusal());
    }
  }

  private void fail(PendingWork work, Failure failure) {
    pending.remove(work.work().id());
    work.result.completeExceptionally(failure.toException());
  }

  private void expire(PendingWork work) {
    if (work.isWaiting() && pending.containsKey(work.work().id())) {
      withdraw(work);
      work.result.completeExceptionally(
          Failure.notRun(FailureType.DEADLINE_EXCEEDED, "no grant before the deadline")
              .toException());
    }
  }

  private void onResultDone(PendingWork work) {
    if (work.result.isCancelled() && pending.containsKey(work.work().id())) {
      withdraw(work);
    }
  }

  private void withdraw(PendingWork work) {
    report(work, new WorkEvent.Withdrawn(work.work().id()));
  }

  private void report(PendingWork work, WorkEvent event) {
    if (!(event instanceof WorkEvent.FirstToken)) {
      pending.remove(event.request());
    }
    work.scheduler().ifPresent(to -> report(to, work.work().pool(), event));
  }

  private void report(InstanceId to, PoolName pool, WorkEvent event) {
    network.send(to, new PoolMessages.Report(pool, event));
  }

  private void onUnknownRequests(InstanceId from, PoolMessages.UnknownRequests unknown) {
    List<PendingWork> found = new ArrayList<>();
    for (RequestId id : unknown.requests()) {
      PendingWork work = pending.get(id);
      if (work != null && work.scheduler().filter(from::equals).isPresent()) {
        found.add(work);
      }
    }
    found.sort(BY_ARRIVAL);
    found.forEach(work -> resubmit(work, from));
  }

  private void resubmit(PendingWork work, InstanceId sender) {
    work.assign(work.domain(), schedulerOf(work));
    if (!work.isWaiting()) {
      reportAdopted(work);
    } else if (work.scheduler().filter(sender::equals).isPresent()) {
      var unused =
          timer.after(
              REOFFER_DELAY,
              () -> {
                if (pending.containsKey(work.work().id()) && work.isWaiting()) {
                  work.assign(work.domain(), schedulerOf(work));
                  offer(work);
                }
              });
    } else {
      offer(work);
    }
  }

  /**
   * Sends all requests whose scheduler changed to the new one, in order of arrival: waiting ones as
   * offers, granted ones as adopted.
   */
  private void reassignAll() {
    runOnTimer(
        () -> {
          List<PendingWork> all = new ArrayList<>(pending.values());
          all.sort(BY_ARRIVAL);
          for (PendingWork work : all) {
            Optional<InstanceId> newScheduler = schedulerOf(work);
            if (!newScheduler.equals(work.scheduler())) {
              work.assign(work.domain(), newScheduler);
              if (work.isWaiting()) {
                offer(work);
              } else {
                reportAdopted(work);
              }
            }
          }
        });
  }

  private Optional<InstanceId> schedulerOf(PendingWork work) {
    return Schedulers.of(membership.view(), work.domain(), work.work().pool());
  }

  private void reportAdopted(PendingWork work) {
    GrantedPermit permit = work.permit().orElseThrow();
    WorkEvent adopted =
        new WorkEvent.Adopted(
            work.workAt(timer.nanoTime()), permit.endpoint().id(), permit.outputTokens());
    work.scheduler().ifPresent(to -> report(to, work.work().pool(), adopted));
  }

  private void sendHeartbeats() {
    Map<HeartbeatBuilder.Target, HeartbeatBuilder> byTarget = new HashMap<>();
    for (PendingWork work : pending.values()) {
      work.scheduler()
          .ifPresent(
              to ->
                  byTarget
                      .computeIfAbsent(
                          new HeartbeatBuilder.Target(
                              to, work.work().pool(), work.work().id().incarnation()),
                          ignored -> new HeartbeatBuilder())
                      .add(work));
    }
    byTarget.forEach((target, beats) -> network.send(target.scheduler(), beats.build(target)));
  }
}
