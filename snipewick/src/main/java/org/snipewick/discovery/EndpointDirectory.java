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
 * Endpoints of all pools of the own failure domain. One instance per domain reads the platform's
 * list and tells the others what changed; who joins is told by one of those that were there, so
 * that no instance needs the platform to know the endpoints. All state lives on the timer's thread.
 */
public final class EndpointDirectory {
  private static final String READER_DUTY = "instance-list";
  private static final Duration PERIOD = Duration.ofSeconds(1);
  private static final Duration ANSWER_TIMEOUT = Duration.ofSeconds(1);

  private final Membership membership;
  private final InstanceList list;
  private final PeerNetwork network;
  private final TimerService timer;
  private final Map<PoolName, PoolEndpoints> known = new HashMap<>();
  private final List<Consumer<PoolEndpoints>> listeners = new CopyOnWriteArrayList<>();
  private final Map<Member, Map<PoolName, List<ListedInstance>>> confirmed = new HashMap<>();

  private EndpointDirectory(
      Membership membership, InstanceList list, PeerNetwork network, TimerService timer) {
    this.membership = requireNonNull(membership, "membership");
    this.list = requireNonNull(list, "list");
    this.network = requireNonNull(network, "network");
    this.timer = requireNonNull(timer, "timer");
  }

  /**
   * Starts to read and to listen.
   *
   * @param membership who is alive
   * @param list the platform's list
   * @param network to reach the other instances of the domain
   * @param timer drives the reads and runs all changes
   * @return running directory
   */
  public static EndpointDirectory start(
      Membership membership, InstanceList list, PeerNetwork network, TimerService timer) {
    EndpointDirectory directory = new EndpointDirectory(membership, list, network, timer);
    network.handle(
        PoolEndpoints.class,
        (from, message) -> {
          timer.after(Duration.ZERO, () -> directory.accept(message));
          return CompletableFuture.completedFuture(new DomainEndpoints(List.of()));
        });
    network.handle(EndpointsQuery.class, (from, query) -> directory.answer());
    membership.subscribe((before, after) -> timer.after(Duration.ZERO, directory::exchange));
    timer.every(PERIOD, directory::exchange);
    return directory;
  }

  /**
   * Calls a listener, on the timer's thread, whenever the endpoints of a pool have changed.
   *
   * @param listener gets all endpoints of the pool
   */
  public void subscribe(Consumer<PoolEndpoints> listener) {
    listeners.add(requireNonNull(listener, "listener"));
  }

  private void accept(PoolEndpoints message) {
    PoolEndpoints before = known.get(message.pool());
    if (before != null && before.readEpochMillis() >= message.readEpochMillis()) {
      return;
    }
    known.put(message.pool(), message);
    if (before == null || !before.endpoints().equals(message.endpoints())) {
      listeners.forEach(listener -> listener.accept(message));
    }
  }

  private CompletableFuture<DomainEndpoints> answer() {
    CompletableFuture<DomainEndpoints> answer = new CompletableFuture<>();
    timer.after(
        Duration.ZERO, () -> answer.complete(new DomainEndpoints(List.copyOf(known.values()))));
    return answer;
  }

  private void exchange() {
    MembershipView view = membership.view();
    List<Member> alive = view.aliveIn(view.ownDomain());
    if (isFirst(alive, view.self())) {
      read();
      spread();
    }
    if (known.isEmpty()) {
      others(view, alive).stream().findAny().ifPresent(this::ask);
    }
  }

  private static List<Member> others(MembershipView view, List<Member> members) {
    return members.stream().filter(member -> !member.id().equals(view.self())).toList();
  }

  private void read() {
    CompletableFuture<Void> unused =
        list.endpointsIn(membership.view().ownDomain())
            .thenAccept(instances -> timer.after(Duration.ZERO, () -> publish(instances)))
            // The list logs its losses; the next exchange reads it again.
            .exceptionally(failure -> null);
  }

  private void publish(List<ListedInstance> instances) {
    long now = timer.epochMillis();
    poolsOf(instances)
        .forEach((pool, endpoints) -> accept(new PoolEndpoints(pool, now, endpoints)));
    spread();
  }

  private void spread() {
    MembershipView view = membership.view();
    List<Member> alive = view.aliveIn(view.ownDomain());
    confirmed.keySet().retainAll(alive);
    others(view, alive).forEach(this::tellUnconfirmed);
  }

  private void tellUnconfirmed(Member member) {
    Map<PoolName, List<ListedInstance>> told =
        confirmed.computeIfAbsent(member, ignored -> new HashMap<>());
    known.values().stream()
        .filter(pool -> !pool.endpoints().equals(told.get(pool.pool())))
        .forEach(pool -> call(member, pool, answer -> told.put(pool.pool(), pool.endpoints())));
  }

  private void ask(Member member) {
    call(
        member,
        new EndpointsQuery(),
        answer -> {
          if (answer instanceof DomainEndpoints endpoints) {
            endpoints.pools().forEach(this::accept);
          }
        });
  }

  private void call(Member member, PeerMessage message, Consumer<PeerMessage> onAnswer) {
    CompletableFuture<Void> unused =
        network
            .call(member.id(), message, ANSWER_TIMEOUT)
            .thenAccept(answer -> timer.after(Duration.ZERO, () -> onAnswer.accept(answer)))
            // The network logs a failed connection; the next exchange calls the member again.
            .exceptionally(failure -> null);
  }

  private Map<PoolName, List<ListedInstance>> poolsOf(List<ListedInstance> instances) {
    Map<PoolName, List<ListedInstance>> pools =
        instances.stream()
            .sorted(Comparator.comparing(ListedInstance::id))
            .collect(
                Collectors.groupingBy(
                    instance -> PoolName.of(instance.pool()), TreeMap::new, Collectors.toList()));
    known.keySet().forEach(pool -> pools.putIfAbsent(pool, List.of()));
    return pools;
  }

  private static boolean isFirst(List<Member> members, InstanceId self) {
    return Rendezvous.first(READER_DUTY, members, member -> member.id().value())
        .filter(member -> member.id().equals(self))
        .isPresent();
  }
}
