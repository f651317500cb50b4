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

  /** Delay before a request is offered again to a scheduler that reported it as unknown. */
  private static final Duration REOFFER_DELAY = Duration.ofMillis(50);

  /** Maximum number of domains that a request is offered to in addition to the first. */
  private static final int MAX_OTHER_DOMAINS = 3;

  private static final Comparator<PendingRequest> BY_ARRIVAL =
      Comparator.comparingLong(PendingRequest::arrivalNanos);

  private final Membership membership;
  private final PeerNetwork network;
  private final TimerService timer;
  private final Map<RequestId, PendingRequest> pending = new HashMap<>();
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
    PendingRequest added = new PendingRequest(work, onCancel, timer.nanoTime());
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

  private void submit(PendingRequest added) {
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

  private void offerTo(PendingRequest request, FailureDomain domain) {
    request.assign(domain, Schedulers.of(membership.view(), domain, request.work().pool()));
    offer(request);
  }

  private void offer(PendingRequest request) {
    request
        .scheduler()
        .ifPresentOrElse(
            to -> network.send(to, new PoolMessages.Offer(request.workAt(timer.nanoTime()))),
            () -> offerToNextDomain(request));
  }

  private void onDecided(InstanceId from, PoolMessages.Decided decided) {
    Decision decision = decided.decision();
    PendingRequest request = pending.get(decision.request());
    boolean fromScheduler = request != null && request.scheduler().filter(from::equals).isPresent();
    if (decision instanceof Decision.Grant grant) {
      if (!fromScheduler && (request == null || request.isWaiting())) {
        report(from, decided.pool(), new WorkEvent.Withdrawn(grant.request()));
      } else if (fromScheduler && request.isWaiting()) {
        decided.endpoint().ifPresent(endpoint -> grant(request, grant, endpoint));
      }
    } else if (fromScheduler && decision instanceof Decision.Refuse refuse && request.isWaiting()) {
      refuse(request, refuse);
    } else if (fromScheduler
        && decision instanceof Decision.Cancel cancel
        && !request.isWaiting()) {
      request.onCancel.accept(cancel);
    }
  }

  private void grant(PendingRequest request, Decision.Grant grant, EndpointStatus endpoint) {
    GrantedPermit permit =
        new GrantedPermit(
            grant.request(),
            endpoint,
            grant.validMillis(),
            timer,
            event -> runOnTimer(() -> report(request, event)));
    request.setPermit(permit);
    var unused =
        timer.after(
            Duration.ofMillis(grant.validMillis()),
            () -> {
              if (permit.expire()) {
                withdraw(request);
              }
            });
    if (!request.result.complete(permit)) {
      withdraw(request);
    }
  }

  private void refuse(PendingRequest request, Decision.Refuse refuse) {
    request.recordRefusal(refuse);
    refusals.record(request.domain(), request.work(), refuse.reason(), timer.nanoTime());
    offerToNextDomain(request);
  }

  private void offerToNextDomain(PendingRequest request) {
    MembershipView view = membership.view();
    long now = timer.nanoTime();
    Optional<FailureDomain> nextDomain =
        request.triedDomains().size() > MAX_OTHER_DOMAINS
            ? Optional.empty()
            : Rendezvous.rank(
                    request.work().id().toString(), view.byDomain().keySet(), FailureDomain::value)
                .stream()
                .filter(domain -> !request.triedDomains().contains(domain))
                .filter(domain -> !view.aliveIn(domain).isEmpty())
                .filter(domain -> !refusals.hasRefused(domain, request.work(), now))
                .findFirst();
    if (nextDomain.isPresent()) {
      offerTo(request, nextDomain.get());
    } else {
      fail(request, request.refusal());
    }
  }

  private void fail(PendingRequest request, Failure failure) {
    pending.remove(request.work().id());
    request.result.completeExceptionally(failure.toException());
  }

  private void expire(PendingRequest request) {
    if (request.isWaiting() && pending.containsKey(request.work().id())) {
      withdraw(request);
      request.result.completeExceptionally(
          Failure.notRun(FailureType.DEADLINE_EXCEEDED, "no grant before the deadline")
              .toException());
    }
  }

  private void onResultDone(PendingRequest request) {
    if (request.result.isCancelled() && pending.containsKey(request.work().id())) {
      withdraw(request);
    }
  }

  private void withdraw(PendingRequest request) {
    report(request, new WorkEvent.Withdrawn(request.work().id()));
  }

  private void report(PendingRequest request, WorkEvent event) {
    if (!(event instanceof WorkEvent.FirstToken)) {
      pending.remove(event.request());
    }
    request.scheduler().ifPresent(to -> report(to, request.work().pool(), event));
  }

  private void report(InstanceId to, PoolName pool, WorkEvent event) {
    network.send(to, new PoolMessages.Report(pool, event));
  }

  private void onUnknownRequests(InstanceId from, PoolMessages.UnknownRequests unknown) {
    List<PendingRequest> found = new ArrayList<>();
    for (RequestId id : unknown.requests()) {
      PendingRequest request = pending.get(id);
      if (request != null && request.scheduler().filter(from::equals).isPresent()) {
        found.add(request);
      }
    }
    found.sort(BY_ARRIVAL);
    found.forEach(request -> resubmit(request, from));
  }

  private void resubmit(PendingRequest request, InstanceId sender) {
    request.assign(request.domain(), schedulerOf(request));
    if (!request.isWaiting()) {
      reportAdopted(request);
    } else if (request.scheduler().filter(sender::equals).isPresent()) {
      var unused =
          timer.after(
              REOFFER_DELAY,
              () -> {
                if (pending.containsKey(request.work().id()) && request.isWaiting()) {
                  request.assign(request.domain(), schedulerOf(request));
                  offer(request);
                }
              });
    } else {
      offer(request);
    }
  }

  /**
   * Sends each request whose scheduler has changed to its new scheduler, in order of arrival:
   * waiting requests as offers, granted ones as adopted.
   */
  private void reassignAll() {
    runOnTimer(
        () -> {
          List<PendingRequest> all = new ArrayList<>(pending.values());
          all.sort(BY_ARRIVAL);
          for (PendingRequest request : all) {
            Optional<InstanceId> newScheduler = schedulerOf(request);
            if (!newScheduler.equals(request.scheduler())) {
              request.assign(request.domain(), newScheduler);
              if (request.isWaiting()) {
                offer(request);
              } else {
                reportAdopted(request);
              }
            }
          }
        });
  }

  private Optional<InstanceId> schedulerOf(PendingRequest request) {
    return Schedulers.of(membership.view(), request.domain(), request.work().pool());
  }

  private void reportAdopted(PendingRequest request) {
    GrantedPermit permit = request.permit().orElseThrow();
    WorkEvent adopted =
        new WorkEvent.Adopted(
            request.workAt(timer.nanoTime()), permit.endpoint().id(), permit.outputTokens());
    request.scheduler().ifPresent(to -> report(to, request.work().pool(), adopted));
  }

  private void sendHeartbeats() {
    Map<HeartbeatBuilder.Target, HeartbeatBuilder> byTarget = new HashMap<>();
    for (PendingRequest request : pending.values()) {
      request
          .scheduler()
          .ifPresent(
              to ->
                  byTarget
                      .computeIfAbsent(
                          new HeartbeatBuilder.Target(
                              to, request.work().pool(), request.work().id().incarnation()),
                          ignored -> new HeartbeatBuilder())
                      .add(request));
    }
    byTarget.forEach((target, builder) -> network.send(target.scheduler(), builder.build(target)));
  }
}
