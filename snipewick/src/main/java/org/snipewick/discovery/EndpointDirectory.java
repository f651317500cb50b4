package org.snipewick.discovery;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.snipewick.identity.InstanceId;
import org.snipewick.identity.PoolName;
import org.snipewick.membership.Member;
import org.snipewick.membership.Membership;
import org.snipewick.membership.MembershipView;
import org.snipewick.membership.Rendezvous;
import org.snipewick.peer.PeerMessage;
import org.snipewick.peer.PeerNetwork;
import org.snipewick.store.InstanceList;
import org.snipewick.store.ListedInstance;
import org.snipewick.time.TimerService;

/**
 * Directory of the endpoints of all pools of the local failure domain. One instance per domain, the
 * reader, reads the platform's list and sends changes to the others. An instance that has no
 * endpoints queries another one, so that it receives them also if the platform is unavailable. All
 * state is confined to the timer's thread.
 */
public final class EndpointDirectory {
  private static final String READER_ELECTION_KEY = "instance-list";
  private static final Duration SYNCHRONIZATION_PERIOD = Duration.ofSeconds(1);
  private static final Duration REPLY_TIMEOUT = Duration.ofSeconds(1);

  private final Membership membership;
  private final InstanceList list;
  private final PeerNetwork network;
  private final TimerService timer;
  private final Map<PoolName, PoolEndpoints> endpointsByPool = new HashMap<>();
  private final List<Consumer<PoolEndpoints>> listeners = new CopyOnWriteArrayList<>();
  private final Map<Member, Map<PoolName, List<ListedInstance>>> confirmedByMember =
      new HashMap<>();

  private EndpointDirectory(
      Membership membership, InstanceList list, PeerNetwork network, TimerService timer) {
    this.membership = requireNonNull(membership, "membership");
    this.list = requireNonNull(list, "list");
    this.network = requireNonNull(network, "network");
    this.timer = requireNonNull(timer, "timer");
  }

  /**
   * Creates a directory, registers its message handlers and starts its periodic synchronization.
   *
   * @param membership membership, which determines the reader
   * @param list the platform's list
   * @param network network to the other instances of the domain
   * @param timer timer; all state is confined to its thread
   * @return started directory
   */
  public static EndpointDirectory start(
      Membership membership, InstanceList list, PeerNetwork network, TimerService timer) {
    EndpointDirectory directory = new EndpointDirectory(membership, list, network, timer);
    network.handle(
        PoolEndpoints.class,
        (from, message) -> {
          timer.after(Duration.ZERO, () -> directory.update(message));
          return CompletableFuture.completedFuture(new DomainEndpoints(List.of()));
        });
    network.handle(EndpointsQuery.class, (from, query) -> directory.replyToQuery());
    membership.subscribe((before, after) -> timer.after(Duration.ZERO, directory::synchronize));
    timer.every(SYNCHRONIZATION_PERIOD, directory::synchronize);
    return directory;
  }

  /**
   * Adds a listener that is called on the timer's thread when the endpoints of a pool have changed.
   *
   * @param listener receives all endpoints of the pool
   */
  public void subscribe(Consumer<PoolEndpoints> listener) {
    listeners.add(requireNonNull(listener, "listener"));
  }

  /** Replaces the endpoints of a pool if they were read from the list after the stored ones. */
  private void update(PoolEndpoints message) {
    PoolEndpoints before = endpointsByPool.get(message.pool());
    if (before != null && before.readEpochMillis() >= message.readEpochMillis()) {
      return;
    }
    endpointsByPool.put(message.pool(), message);
    if (before == null || !before.endpoints().equals(message.endpoints())) {
      listeners.forEach(listener -> listener.accept(message));
    }
  }

  private CompletableFuture<DomainEndpoints> replyToQuery() {
    CompletableFuture<DomainEndpoints> result = new CompletableFuture<>();
    timer.after(
        Duration.ZERO,
        () -> result.complete(new DomainEndpoints(List.copyOf(endpointsByPool.values()))));
    return result;
  }

  private void synchronize() {
    MembershipView view = membership.view();
    List<Member> alive = view.aliveIn(view.localDomain());
    if (isReader(alive, view.self())) {
      readList();
      sendToMembers();
    }
    if (endpointsByPool.isEmpty()) {
      withoutSelf(view, alive).stream().findAny().ifPresent(this::query);
    }
  }

  private static List<Member> withoutSelf(MembershipView view, List<Member> members) {
    return members.stream().filter(member -> !member.id().equals(view.self())).toList();
  }

  private void readList() {
    CompletableFuture<Void> unused =
        list.endpointsIn(membership.view().localDomain())
            .thenAccept(instances -> timer.after(Duration.ZERO, () -> updateFromList(instances)))
            // The list logs when it becomes unavailable; the next synchronization reads it again.
            .exceptionally(failure -> null);
  }

  private void updateFromList(List<ListedInstance> instances) {
    long now = timer.epochMillis();
    groupByPool(instances)
        .forEach((pool, endpoints) -> update(new PoolEndpoints(pool, now, endpoints)));
    sendToMembers();
  }

  private void sendToMembers() {
    MembershipView view = membership.view();
    List<Member> alive = view.aliveIn(view.localDomain());
    confirmedByMember.keySet().retainAll(alive);
    withoutSelf(view, alive).forEach(this::sendUnconfirmed);
  }

  /** Sends a member each pool whose current endpoints it has not confirmed. */
  private void sendUnconfirmed(Member member) {
    Map<PoolName, List<ListedInstance>> confirmed =
        confirmedByMember.computeIfAbsent(member, ignored -> new HashMap<>());
    endpointsByPool.values().stream()
        .filter(message -> !message.endpoints().equals(confirmed.get(message.pool())))
        .forEach(
            message ->
                call(member, message, reply -> confirmed.put(message.pool(), message.endpoints())));
  }

  private void query(Member member) {
    call(
        member,
        new EndpointsQuery(),
        reply -> {
          if (reply instanceof DomainEndpoints endpoints) {
            endpoints.pools().forEach(this::update);
          }
        });
  }

  private void call(Member member, PeerMessage message, Consumer<PeerMessage> onReply) {
    CompletableFuture<Void> unused =
        network
            .call(member.id(), message, REPLY_TIMEOUT)
            .thenAccept(reply -> timer.after(Duration.ZERO, () -> onReply.accept(reply)))
            // The network logs a failed connection; the next synchronization calls the member
            // again.
            .exceptionally(failure -> null);
  }

  /** Groups instances by pool; a stored pool without instances gets an empty list. */
  private Map<PoolName, List<ListedInstance>> groupByPool(List<ListedInstance> instances) {
    Map<PoolName, List<ListedInstance>> pools =
        instances.stream()
            .sorted(Comparator.comparing(ListedInstance::id))
            .collect(
                Collectors.groupingBy(
                    instance -> PoolName.of(instance.pool()), TreeMap::new, Collectors.toList()));
    endpointsByPool.keySet().forEach(pool -> pools.putIfAbsent(pool, List.of()));
    return pools;
  }

  private static boolean isReader(List<Member> members, InstanceId self) {
    return Rendezvous.first(READER_ELECTION_KEY, members, member -> member.id().value())
        .filter(member -> member.id().equals(self))
        .isPresent();
  }
}
