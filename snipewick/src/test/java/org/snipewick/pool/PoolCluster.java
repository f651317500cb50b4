package org.snipewick.pool;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.snipewick.event.Event;
import org.snipewick.event.EventLog;
import org.snipewick.identity.EndpointId;
import org.snipewick.identity.FailureDomain;
import org.snipewick.identity.InstanceId;
import org.snipewick.identity.PoolName;
import org.snipewick.membership.Member;
import org.snipewick.membership.MembershipView;
import org.snipewick.membership.SettableMembership;
import org.snipewick.peer.InMemoryPeers;
import org.snipewick.peer.PeerNetwork;
import org.snipewick.time.VirtualTimerService;

/** Pool controllers and clients of several instances, run in one thread on virtual time. */
final class PoolCluster {
  final VirtualTimerService timer = VirtualTimerService.of(0);
  final InMemoryPeers peers = new InMemoryPeers(timer, Duration.ofMillis(1));
  final List<Event> events = new ArrayList<>();
  private final String[] names;
  private final Map<String, SettableMembership> memberships = new LinkedHashMap<>();
  private final Map<String, PoolController> controllers = new LinkedHashMap<>();
  private final Map<String, PeerPoolClient> clients = new LinkedHashMap<>();

  PoolCluster(String... names) {
    this.names = names;
    for (String name : names) {
      start(name);
    }
  }

  private void start(String name) {
    SettableMembership membership = new SettableMembership(SettableMembership.viewOf(name, names));
    PeerNetwork network = peers.join(InstanceId.of(name));
    EventLog log =
        (type, subject, details) ->
            events.add(new Event(type, timer.nanoTime() / 1_000, name, subject, details));
    memberships.put(name, membership);
    controllers.put(
        name,
        PoolController.start(
            membership, network, timer, log, PoolPolicy.standard(), SchedulerSettings.defaults()));
    clients.put(name, PeerPoolClient.start(membership, network, timer));
  }

  /** Updates the status of an endpoint at all controllers of a domain. */
  void updateEndpoint(String domain, EndpointStatus status) {
    controllers.forEach(
        (name, controller) -> {
          if (name.startsWith(domain + ".")) {
            controller.updateEndpoint(PoolFixtures.POOL, status);
          }
        });
  }

  /** Signals to all controllers that a load report of an endpoint arrived. */
  void recordLoadReport(EndpointId endpoint) {
    controllers.values().forEach(controller -> controller.recordLoadReport(endpoint));
  }

  CompletableFuture<PoolClient.Permit> acquire(WorkRequest work) {
    return clients.get(work.id().instance().value()).acquire(work, cancel -> {});
  }

  String scheduler(String domain) {
    return scheduler(domain, PoolFixtures.POOL);
  }

  String scheduler(String domain, PoolName pool) {
    MembershipView view = memberships.values().iterator().next().view();
    return Schedulers.of(view, FailureDomain.of(domain), pool).orElseThrow().value();
  }

  /** Returns an instance of a domain that is not the scheduler. */
  String entry(String domain) {
    return memberships.keySet().stream()
        .filter(name -> name.startsWith(domain + "."))
        .filter(name -> !name.equals(scheduler(domain)))
        .findFirst()
        .orElseThrow();
  }

  /** Crashes an instance; the others see it as dead two seconds later. */
  void crash(String name) {
    peers.crash(InstanceId.of(name));
    memberships.get(name).setActive(false, 0);
    run(2_000);
    setState(name, Member.State.DEAD);
  }

  /** Sets the state of an instance in the views of all others; if leaving, in its own view too. */
  void setState(String name, Member.State state) {
    InstanceId id = InstanceId.of(name);
    memberships.forEach(
        (self, membership) -> {
          if (!self.equals(name) || state == Member.State.LEAVING) {
            List<Member> members =
                membership.view().members().values().stream()
                    .map(member -> member.id().equals(id) ? member.withState(state) : member)
                    .toList();
            membership.setView(MembershipView.ofAll(InstanceId.of(self), members));
          }
        });
  }

  PoolController controller(String name) {
    return controllers.get(name);
  }

  SettableMembership membership(String name) {
    return memberships.get(name);
  }

  void run(long millis) {
    timer.advance(Duration.ofMillis(millis));
  }
}
