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
 * Pool client that speaks to schedulers over the peer network. All state lives on the timer's
 * thread, on which the futures complete too; the public methods may be called from any thread.
 */
public final class PeerPoolClient implements PoolClient {
  private static final Duration HEARTBEAT = Duration.ofMillis(500);
  private static final Duration REOFFER_DELAY = Duration.ofMillis(50);
  private static final int OTHER_DOMAINS = 3;
  private static final Comparator<PendingWork> IN_ORDER =
      Comparator.comparingLong(PendingWork::arrivalNanos);

  private final Membership membership;
  private final PeerNetwork network;
  private final TimerService timer;
  private final Map<RequestId, PendingWork> pending = new HashMap<>();
  private final RefusalMemory refusals = new RefusalMemory();

  private PeerPoolClient(Membership membership, PeerNetwork network, TimerService timer) {
    this.membership = requireNonNull(membership, "membership");
    this.network = requireNonNull(network, "network");
    this.timer = requireNonNull(timer, "timer");
  }

  /**
   * Creates a client and starts it.
   *
   * @param membership members
   * @param network peer network, whose handlers of decisions are set
   * @param timer timer
   * @return running client
   */
  public static PeerPoolClient start(
      Membership membership, PeerNetwork network, TimerService timer) {
    PeerPoolClient client = new PeerPoolClient(membership, network, timer);
    network.handle(
        PoolMessages.Decided.class,
        (from, decided) -> client.handle(() -> client.onDecided(from, decided)));
    network.handle(
        PoolMessages.Missing.class,
        (from, missing) -> client.handle(() -> client.onMissing(from, missing)));
    membership.subscribe((before, after) -> client.redirectAll());
    timer.every(HEARTBEAT, client::sendHeartbeats);
    return client;
  }

  @Override
  public CompletableFuture<Permit> acquire(WorkRequest work, Consumer<Decision.Cancel> onCancel) {
    PendingWork added = new PendingWork(work, onCancel, timer.nanoTime());
    var unused =
        added.result.whenComplete((permit, failure) -> later(() -> abandonedByCaller(added)));
    later(() -> begin(added));
    return added.result;
  }

  private CompletableFuture<PeerMessage> handle(Runnable task) {
    later(task);
    return CompletableFuture.completedFuture(null);
  }

  private void later(Runnable task) {
    var unused = timer.after(Duration.ZERO, task);
  }

  private void begin(PendingWork added) {
    if (added.result.isDone()) {
      return;
    }
    WorkRequest work = added.work();
    pending.put(work.id(), added);
    var unused =
        timer.after(Duration.ofMillis(Math.max(0, work.remainingMillis())), () -> expire(added));
    MembershipView view = membership.view();
    long now = timer.nanoTime();
    FailureDomain first =
        DomainAffinity.of(work, view)
            .filter(domain -> !refusals.isRefusing(domain, work, now))
            .orElse(view.ownDomain());
    if (refusals.hasNoEndpoint(first, work.pool(), now)) {
      added.tried().add(first);
      offerElsewhere(added);
    } else {
      direct(added, first);
    }
  }

  private void direct(PendingWork work, FailureDomain domain) {
    work.directTo(domain, Schedulers.of(membership.view(), domain, work.work().pool()));
    offer(work);
  }

  private void offer(PendingWork work) {
    work.scheduler()
        .ifPresentOrElse(
            to -> network.send(to, new PoolMessages.Offer(work.workAt(timer.nanoTime()))),
            () -> offerElsewhere(work));
  }

  private void onDecided(InstanceId from, PoolMessages.Decided decided) {
    Decision decision = decided.decision();
    PendingWork work = pending.get(decision.request());
    boolean expected = work != null && work.scheduler().filter(from::equals).isPresent();
    if (decision instanceof Decision.Grant grant) {
      if (!expected && (work == null || work.isWaiting())) {
        report(from, decided.pool(), new WorkEvent.Withdrawn(grant.request()));
      } else if (expected && work.isWaiting()) {
        decided.endpoint().ifPresent(endpoint -> grant(work, grant, endpoint));
      }
    } else if (expected && decision instanceof Decision.Refuse refuse && work.isWaiting()) {
      refuse(work, refuse);
    } else if (expected && decision instanceof Decision.Cancel cancel && !work.isWaiting()) {
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
            event -> later(() -> report(work, event)));
    work.granted(permit);
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
    work.refused(refuse);
    refusals.refused(work.domain(), work.work(), refuse.reason(), timer.nanoTime());
    offerElsewhere(work);
  }

  private void offerElsewhere(PendingWork work) {
    MembershipView view = membership.view();
    long now = timer.nanoTime();
    Optional<FailureDomain> next =
        work.tried().size() > OTHER_DOMAINS
            ? Optional.empty()
            : Rendezvous.rank(
                    work.work().id().toString(), view.byDomain().keySet(), FailureDomain::value)
                .stream()
                .filter(domain -> !work.tried().contains(domain))
                .filter(domain -> !view.aliveIn(domain).isEmpty())
                .filter(domain -> !refusals.isRefusing(domain, work.work(), now))
                .findFirst();
    if (next.isPresent()) {
      direct(work, next.get());
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
          Failure.notRun(FailureType.DEADLINE_EXCEEDED, "no grant within the agreed time")
              .toException());
    }
  }

  private void abandonedByCaller(PendingWork work) {
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

  private void onMissing(InstanceId from, PoolMessages.Missing missing) {
    List<PendingWork> found = new ArrayList<>();
    for (RequestId id : missing.requests()) {
      PendingWork work = pending.get(id);
      if (work != null && work.scheduler().filter(from::equals).isPresent()) {
        found.add(work);
      }
    }
    found.sort(IN_ORDER);
    found.forEach(work -> presentAgain(work, from));
  }

  private void presentAgain(PendingWork work, InstanceId missedBy) {
    work.directTo(work.domain(), schedulerOf(work));
    if (!work.isWaiting()) {
      adopt(work);
    } else if (work.scheduler().filter(missedBy::equals).isPresent()) {
      var unused =
          timer.after(
              REOFFER_DELAY,
              () -> {
                if (pending.containsKey(work.work().id()) && work.isWaiting()) {
                  work.directTo(work.domain(), schedulerOf(work));
                  offer(work);
                }
              });
    } else {
      offer(work);
    }
  }

  /** Presents all work whose scheduler changed to the new one, what came first first. */
  private void redirectAll() {
    later(
        () -> {
          List<PendingWork> all = new ArrayList<>(pending.values());
          all.sort(IN_ORDER);
          for (PendingWork work : all) {
            Optional<InstanceId> now = schedulerOf(work);
            if (!now.equals(work.scheduler())) {
              work.directTo(work.domain(), now);
              if (work.isWaiting()) {
                offer(work);
              } else {
                adopt(work);
              }
            }
          }
        });
  }

  private Optional<InstanceId> schedulerOf(PendingWork work) {
    return Schedulers.of(membership.view(), work.domain(), work.work().pool());
  }

  private void adopt(PendingWork work) {
    GrantedPermit permit = work.permit().orElseThrow();
    WorkEvent adopted =
        new WorkEvent.Adopted(
            work.workAt(timer.nanoTime()), permit.endpoint().id(), permit.outputTokens());
    work.scheduler().ifPresent(to -> report(to, work.work().pool(), adopted));
  }

  private void sendHeartbeats() {
    Map<Heartbeats.Target, Heartbeats> byTarget = new HashMap<>();
    for (PendingWork work : pending.values()) {
      work.scheduler()
          .ifPresent(
              to ->
                  byTarget
                      .computeIfAbsent(
                          new Heartbeats.Target(
                              to, work.work().pool(), work.work().id().incarnation()),
                          ignored -> new Heartbeats())
                      .add(work));
    }
    byTarget.forEach((target, beats) -> network.send(target.scheduler(), beats.message(target)));
  }
}
