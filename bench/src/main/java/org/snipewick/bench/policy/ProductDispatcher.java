package org.snipewick.bench.policy;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.snipewick.event.EventLog;
import org.snipewick.identity.EndpointId;
import org.snipewick.identity.FailureDomain;
import org.snipewick.identity.InstanceId;
import org.snipewick.identity.Tier;
import org.snipewick.membership.Member;
import org.snipewick.pool.EndpointStatus;
import org.snipewick.pool.PeerPoolClient;
import org.snipewick.pool.PoolClient;
import org.snipewick.pool.PoolController;
import org.snipewick.pool.PoolPolicy;
import org.snipewick.pool.SchedulerSettings;
import org.snipewick.pool.WorkEvent;
import org.snipewick.pool.WorkRequest;

/** Dispatches with the product's pool controllers and clients, one of each per entry instance. */
final class ProductDispatcher implements Dispatcher {
  private static final Duration DEATH_DETECTION_DELAY = Duration.ofSeconds(2);

  private final Simulation simulation;
  private final Map<InstanceId, PeerFake> network = new HashMap<>();
  private final Map<InstanceId, MembershipFake> memberships = new HashMap<>();
  private final Map<InstanceId, PoolClient> clients = new HashMap<>();
  private final Map<InstanceId, PoolController> controllers = new HashMap<>();
  private final Map<InstanceId, String> domains = new HashMap<>();
  private String killedEntry = "";
  private boolean isCut;

  ProductDispatcher(Simulation simulation, PoolPolicy policy, SchedulerSettings settings) {
    this.simulation = simulation;
    List<Member> members = members();
    for (Member member : members) {
      start(member, members, policy, settings);
    }
    reportEngineStatus();
    simulation.timer.every(
        Duration.ofMillis(simulation.benchCase.reportLagMillis()), this::reportEngineStatus);
  }

  @Override
  public void onArrival(Workload.Request request) {
    WorkRequest work = request.work();
    var unused =
        clients
            .get(work.id().instance())
            .acquire(work, cancel -> {})
            .thenAccept(permit -> dispatch(request, permit));
  }

  @Override
  public void onKilled(String entry) {
    killedEntry = entry;
    memberships.get(InstanceId.of(entry)).deactivate();
    scheduleDeathDetection();
  }

  @Override
  public void onCut(boolean cut) {
    isCut = cut;
    scheduleDeathDetection();
  }

  private void dispatch(Workload.Request request, PoolClient.Permit permit) {
    EngineFake engine =
        simulation.engines.stream()
            .filter(each -> each.name.equals(permit.endpoint().id().value()))
            .findFirst()
            .orElseThrow();
    boolean alive = !request.work().id().instance().value().equals(killedEntry);
    if (alive && simulation.reaches(simulation.domainOf(request), engine) && permit.use()) {
      simulation.start(
          request, engine, job -> recordToken(job, permit), job -> finish(job, permit));
    }
  }

  private static void recordToken(EngineFake.Job job, PoolClient.Permit permit) {
    if (job.generatedTokens == 1) {
      permit.reportFirstToken();
    }
    permit.reportProgress(job.generatedTokens);
  }

  private void finish(EngineFake.Job job, PoolClient.Permit permit) {
    WorkEvent.Result result =
        job.isComplete() ? WorkEvent.Result.COMPLETE : WorkEvent.Result.CANCELLED;
    permit.finish(result, job.generatedTokens);
  }

  private List<Member> members() {
    List<Member> members = new ArrayList<>();
    for (Workload.Domain domain : simulation.workload.domains()) {
      for (int i = 1; i <= Simulation.ENTRIES_PER_DOMAIN; i++) {
        InstanceId id = InstanceId.of(domain.name() + "." + i);
        FailureDomain failureDomain = FailureDomain.of(domain.name());
        members.add(new Member(id, failureDomain, "127.0.0.1", 1, 1, Member.State.ALIVE));
        domains.put(id, domain.name());
      }
    }
    return members;
  }

  private void start(
      Member member, List<Member> members, PoolPolicy policy, SchedulerSettings settings) {
    InstanceId id = member.id();
    MembershipFake membership = new MembershipFake(id, members);
    PeerFake peer = new PeerFake(id, simulation.timer, network, this::connected);
    memberships.put(id, membership);
    controllers.put(
        id,
        PoolController.start(
            membership, peer, simulation.timer, EventLog.none(), policy, settings));
    clients.put(id, PeerPoolClient.start(membership, peer, simulation.timer));
  }

  private boolean connected(InstanceId from, InstanceId to) {
    return !from.value().equals(killedEntry)
        && !to.value().equals(killedEntry)
        && (!isCut || isInFirstDomain(from) == isInFirstDomain(to));
  }

  private boolean isInFirstDomain(InstanceId instance) {
    return domains.get(instance).equals(simulation.workload.domains().get(0).name());
  }

  /** Updates all memberships after the delay with which dead instances are detected. */
  private void scheduleDeathDetection() {
    var unused =
        simulation.timer.after(
            DEATH_DETECTION_DELAY,
            () ->
                memberships.forEach(
                    (self, membership) -> membership.setDead(unreachableFrom(self))));
  }

  private Predicate<Member> unreachableFrom(InstanceId self) {
    return member -> !member.id().equals(self) && !connected(self, member.id());
  }

  private void reportEngineStatus() {
    controllers.forEach(
        (id, controller) ->
            simulation.engines.stream()
                .filter(engine -> engine.domain.equals(domains.get(id)))
                .forEach(engine -> controller.updateEndpoint(Workload.POOL, status(engine))));
  }

  private static EndpointStatus status(EngineFake engine) {
    return new EndpointStatus(
        EndpointId.of(engine.name),
        "127.0.0.1",
        1,
        EndpointStatus.State.LIVE,
        Tier.FOUR,
        EngineFake.SLOTS,
        (long) EngineFake.CACHE_BLOCKS * WorkRequest.PREFIX_BLOCK_TOKENS,
        engine.admitted().size(),
        engine.inFlight() - engine.admitted().size(),
        -1,
        0);
  }
}
