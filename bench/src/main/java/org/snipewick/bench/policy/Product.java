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

/** The product's own controllers and clients, two entry instances in each failure domain. */
final class Product implements Dispatcher {
  private static final Duration DEATH_TIMEOUT = Duration.ofSeconds(2);

  private final World world;
  private final Map<InstanceId, PeerFake> network = new HashMap<>();
  private final Map<InstanceId, MembershipFake> memberships = new HashMap<>();
  private final Map<InstanceId, PoolClient> clients = new HashMap<>();
  private final Map<InstanceId, PoolController> controllers = new HashMap<>();
  private final Map<InstanceId, String> domains = new HashMap<>();
  private String killed = "";
  private boolean isCut;

  Product(World world, PoolPolicy policy, SchedulerSettings settings) {
    this.world = world;
    List<Member> members = members();
    for (Member member : members) {
      start(member, members, policy, settings);
    }
    report();
    world.timer.every(Duration.ofMillis(world.benchCase.reportLagMillis()), this::report);
  }

  @Override
  public void arrive(Workload.Request request) {
    WorkRequest work = request.work();
    var unused =
        clients
            .get(work.id().instance())
            .acquire(work, cancel -> {})
            .thenAccept(permit -> dispatch(request, permit));
  }

  @Override
  public void killed(String entry) {
    killed = entry;
    memberships.get(InstanceId.of(entry)).kill();
    afterDeathTimeout();
  }

  @Override
  public void cut(boolean cut) {
    isCut = cut;
    afterDeathTimeout();
  }

  private void dispatch(Workload.Request request, PoolClient.Permit permit) {
    EngineFake engine =
        world.engines.stream()
            .filter(each -> each.name.equals(permit.endpoint().id().value()))
            .findFirst()
            .orElseThrow();
    boolean alive = !request.work().id().instance().value().equals(killed);
    if (alive && world.reaches(world.domainOf(request), engine) && permit.use()) {
      world.start(request, engine, job -> token(job, permit), job -> end(job, permit));
    }
  }

  private static void token(EngineFake.Job job, PoolClient.Permit permit) {
    if (job.tokens == 1) {
      permit.firstToken();
    }
    permit.progress(job.tokens);
  }

  private void end(EngineFake.Job job, PoolClient.Permit permit) {
    WorkEvent.Result result =
        job.isComplete() ? WorkEvent.Result.COMPLETE : WorkEvent.Result.CANCELLED;
    permit.finish(result, job.tokens);
  }

  private List<Member> members() {
    List<Member> members = new ArrayList<>();
    for (Workload.Domain domain : world.workload.domains()) {
      for (int i = 1; i <= World.ENTRIES_PER_DOMAIN; i++) {
        InstanceId id = InstanceId.of(domain.name() + "." + i);
        FailureDomain place = FailureDomain.of(domain.name());
        members.add(new Member(id, place, "127.0.0.1", 1, 1, Member.State.ALIVE));
        domains.put(id, domain.name());
      }
    }
    return members;
  }

  private void start(
      Member member, List<Member> members, PoolPolicy policy, SchedulerSettings settings) {
    InstanceId id = member.id();
    MembershipFake membership = new MembershipFake(id, members);
    PeerFake peer = new PeerFake(id, world.timer, network, this::connected);
    memberships.put(id, membership);
    controllers.put(
        id, PoolController.start(membership, peer, world.timer, EventLog.none(), policy, settings));
    clients.put(id, PeerPoolClient.start(membership, peer, world.timer));
  }

  private boolean connected(InstanceId from, InstanceId to) {
    return !from.value().equals(killed)
        && !to.value().equals(killed)
        && (!isCut || isFirst(from) == isFirst(to));
  }

  private boolean isFirst(InstanceId instance) {
    return domains.get(instance).equals(world.workload.domains().get(0).name());
  }

  private void afterDeathTimeout() {
    var unused =
        world.timer.after(
            DEATH_TIMEOUT,
            () -> memberships.forEach((self, membership) -> membership.believeDead(deadFor(self))));
  }

  private Predicate<Member> deadFor(InstanceId self) {
    return member -> !member.id().equals(self) && !connected(self, member.id());
  }

  private void report() {
    controllers.forEach(
        (id, controller) ->
            world.engines.stream()
                .filter(engine -> engine.domain.equals(domains.get(id)))
                .forEach(engine -> controller.endpointStatus(Workload.POOL, status(engine))));
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
