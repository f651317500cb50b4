package org.snipewick.idempotency;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiFunction;
import org.snipewick.failure.FailureException;
import org.snipewick.identity.FailureDomain;
import org.snipewick.identity.InstanceId;
import org.snipewick.identity.RequestId;
import org.snipewick.identity.TeamName;
import org.snipewick.membership.LostProcess;
import org.snipewick.membership.Member;
import org.snipewick.membership.MembershipView;
import org.snipewick.membership.Rendezvous;
import org.snipewick.membership.SettableMembership;
import org.snipewick.peer.InMemoryPeers;
import org.snipewick.peer.PeerMessage;
import org.snipewick.peer.PeerNetwork;
import org.snipewick.time.VirtualTimerService;

/** In-memory cluster of entry instances with their ledgers; counts the dispatches per key. */
final class KeyCluster {
  static final Duration FAILURE_DETECTION_DELAY = Duration.ofSeconds(2);

  final VirtualTimerService timer = VirtualTimerService.of(1_800_000_000_000L);
  final InMemoryPeers peers = new InMemoryPeers(timer, Duration.ofMillis(1));
  final Map<String, Node> nodes = new LinkedHashMap<>();
  final Map<String, Integer> dispatches = new HashMap<>();
  long messages;
  private long sequence;

  /** Starts instances ("domain.number") that have been in the views of each other since time 0. */
  static KeyCluster of(String... names) {
    KeyCluster cluster = new KeyCluster();
    for (String name : names) {
      cluster.nodes.put(name, cluster.new Node(name, 1, 0));
    }
    cluster.nodes.values().forEach(node -> cluster.updateViews(node.member, node.member.state()));
    return cluster;
  }

  /** Starts an instance now; it is not in the views of the others until they are updated. */
  Node join(String name, long incarnation) {
    Node node = new Node(name, incarnation, timer.epochMillis());
    nodes.put(name, node);
    nodes.values().forEach(other -> other.shareLostProcesses(node));
    nodes.values().stream()
        .filter(other -> other.running)
        .forEach(other -> node.updateView(other.member));
    return node;
  }

  /** Sets the state of a member in the views of all instances. */
  void updateViews(Member member, Member.State state) {
    nodes.values().forEach(node -> node.updateView(member.withState(state)));
  }

  void crash(String name) {
    nodes.get(name).running = false;
    peers.crash(InstanceId.of(name));
  }

  /** Advances time by the failure detection delay, then sets a member to dead in all views. */
  void declareDead(String name) {
    advance(FAILURE_DETECTION_DELAY);
    updateViews(nodes.get(name).member, Member.State.DEAD);
  }

  void crashAndDeclareDead(String name) {
    crash(name);
    declareDead(name);
  }

  /** Pauses the process of an instance: its messages are deferred, and it is inactive. */
  void pause(String name) {
    peers.pause(InstanceId.of(name));
    nodes.get(name).paused = true;
    nodes
        .get(name)
        .membership
        .setActive(false, nodes.get(name).membership.activeSinceEpochMillis());
  }

  /** Resumes a paused instance; it stays inactive until {@link #reactivate} is called. */
  void resume(String name) {
    Node node = nodes.get(name);
    node.paused = false;
    List<Runnable> deferred = List.copyOf(node.deferredSends);
    node.deferredSends.clear();
    deferred.forEach(Runnable::run);
    peers.resume(InstanceId.of(name));
  }

  /** Sets an instance to alive in all views, and to active. */
  void reactivate(String name) {
    Node node = nodes.get(name);
    updateViews(node.member, Member.State.ALIVE);
    node.membership.setActive(true, timer.epochMillis());
  }

  void advance(Duration duration) {
    timer.advance(duration);
  }

  /**
   * Claims a key at an entry instance and advances time by up to 10 seconds until the claim has
   * completed.
   */
  ClaimAttempt claim(String entry, String key) {
    ClaimAttempt attempt = beginClaim(entry, key);
    for (int i = 0; i < 100 && !attempt.future.isDone(); i++) {
      advance(Duration.ofMillis(100));
    }
    return attempt;
  }

  /** Claims a key at an entry instance; the claim completes when time is advanced. */
  ClaimAttempt beginClaim(String entry, String key) {
    Node node = nodes.get(entry);
    RequestId id = RequestId.of(node.member.id(), node.member.incarnation(), ++sequence);
    KeyedRequest request = new KeyedRequest(id, TeamName.of("team"), key, "f", false);
    return new ClaimAttempt(node, request, node.ledger.claim(request));
  }

  /** Returns the instance that ranks first for a key, whether or not it is alive. */
  String registrar(String key) {
    return rankedInstances(key).get(0);
  }

  /**
   * Returns a key whose home domain is that of the first name and whose ranking of members begins
   * with the given names.
   */
  String keyRanked(String... names) {
    for (int i = 0; ; i++) {
      String key = names[0].substring(0, names[0].lastIndexOf('.')) + ".key" + i;
      if (rankedInstances(key).subList(0, names.length).equals(List.of(names))) {
        return key;
      }
    }
  }

  private List<String> rankedInstances(String key) {
    String domain = key.substring(0, key.indexOf('.'));
    List<String> members =
        nodes.keySet().stream().filter(name -> name.startsWith(domain + ".")).toList();
    return Rendezvous.rank("team/" + key, members, name -> name);
  }

  /** Claim of a key by a request; the future has its result. */
  final class ClaimAttempt {
    final Node node;
    final KeyedRequest request;
    final CompletableFuture<KeyState> future;

    private ClaimAttempt(Node node, KeyedRequest request, CompletableFuture<KeyState> future) {
      this.node = node;
      this.request = request;
      this.future = future;
    }

    /**
     * Returns the simple class name of the state, the failure type, or "nothing" if the claim has
     * not completed.
     */
    String result() {
      if (!future.isDone()) {
        return "nothing";
      }
      return future
          .handle(
              (state, failure) ->
                  failure == null
                      ? state.getClass().getSimpleName()
                      : FailureException.unwrap(failure).type().name())
          .join();
    }

    /** Counts a dispatch if the claim was granted and the entry instance is running. */
    ClaimAttempt dispatch() {
      if (result().equals("Fresh") && node.running) {
        dispatches.merge(request.key(), 1, Integer::sum);
      }
      return this;
    }

    void complete() {
      var unused = node.ledger.complete(request, new StoredAnswer(200, "text/plain", "answer"));
      advance(Duration.ofMillis(10));
    }

    void release() {
      var unused = node.ledger.releaseNotRun(request);
      advance(Duration.ofMillis(10));
    }
  }

  /** Entry instance; its messages are dropped after a crash and deferred during a pause. */
  final class Node implements PeerNetwork {
    final Member member;
    final SettableMembership membership;
    final RegistrarLedger ledger;
    boolean running = true;
    boolean paused;
    private final List<Runnable> deferredSends = new ArrayList<>();
    private final List<LostProcess> lostProcesses = new ArrayList<>();
    private final PeerNetwork network;

    private Node(String name, long incarnation, long activeSinceEpochMillis) {
      FailureDomain domain = FailureDomain.of(name.substring(0, name.lastIndexOf('.')));
      member =
          new Member(InstanceId.of(name), domain, "127.0.0.1", 1, incarnation, Member.State.ALIVE);
      membership = new SettableMembership(MembershipView.ofAll(member.id(), List.of(member)));
      membership.setActive(true, activeSinceEpochMillis);
      network = peers.join(member.id());
      ledger =
          RegistrarLedger.of(
              this, membership, () -> List.copyOf(lostProcesses), timer, LedgerSettings.defaults());
    }

    /** Copies the lost processes to an instance that joins. */
    void shareLostProcesses(Node other) {
      if (running && !paused && other != this) {
        other.lostProcesses.addAll(lostProcesses);
      }
    }

    /**
     * Sets a member in the view of this instance. A reachable member that becomes dead is added to
     * the lost processes; it is removed if the same process becomes alive again.
     */
    void updateView(Member changed) {
      if (changed.state() == Member.State.DEAD && membership.view().isReachable(changed.id())) {
        lostProcesses.add(
            new LostProcess(changed.id(), changed.incarnation(), timer.epochMillis()));
      } else if (changed.state() == Member.State.ALIVE) {
        membership
            .view()
            .find(changed.id())
            .filter(known -> known.incarnation() == changed.incarnation())
            .ifPresent(known -> lostProcesses.removeIf(lost -> lost.id().equals(changed.id())));
      }
      Map<InstanceId, Member> members = new HashMap<>(membership.view().members());
      members.put(changed.id(), changed);
      membership.setView(new MembershipView(member.id(), members));
    }

    @Override
    public CompletableFuture<PeerMessage> call(
        InstanceId to, PeerMessage message, Duration timeout) {
      messages++;
      CompletableFuture<PeerMessage> result = new CompletableFuture<>();
      runOrDefer(
          () -> {
            var unused =
                network
                    .call(to, message, timeout)
                    .whenComplete((reply, failure) -> Futures.complete(reply, failure, result));
          });
      return result;
    }

    @Override
    public void send(InstanceId to, PeerMessage message) {
      messages++;
      runOrDefer(() -> network.send(to, message));
    }

    private void runOrDefer(Runnable action) {
      if (running && paused) {
        deferredSends.add(action);
      } else if (running) {
        action.run();
      }
    }

    @Override
    public <T extends PeerMessage> void handle(
        Class<T> type,
        BiFunction<InstanceId, T, CompletableFuture<? extends PeerMessage>> handler) {
      network.handle(type, handler);
    }

    @Override
    public void setAddress(InstanceId instance, InetSocketAddress address) {}
  }
}
