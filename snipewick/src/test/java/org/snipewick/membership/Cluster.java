package org.snipewick.membership;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiConsumer;
import org.snipewick.event.EventLog;
import org.snipewick.failure.Failure;
import org.snipewick.failure.FailureType;
import org.snipewick.identity.FailureDomain;
import org.snipewick.identity.InstanceId;
import org.snipewick.peer.InMemoryPeers;
import org.snipewick.peer.MessageBytes;
import org.snipewick.peer.MeteredNetwork;
import org.snipewick.peer.PeerCodec;
import org.snipewick.peer.PeerNetwork;
import org.snipewick.store.InstanceList;
import org.snipewick.store.ListedInstance;
import org.snipewick.time.ProcessTimer;
import org.snipewick.time.VirtualTimerService;

/** Instances with membership on a virtual clock and an in-memory network. */
public final class Cluster {
  /** Virtual clock of all instances. */
  public final VirtualTimerService clock = VirtualTimerService.of(1_764_800_000_000L);

  /** Bytes that the instances have sent and received. */
  public final MessageBytes bytes = new MessageBytes();

  private final InMemoryPeers peers = new InMemoryPeers(clock, Duration.ofMillis(1));
  private final Map<String, Node> nodes = new LinkedHashMap<>();
  private final Random random;
  private final PeerCodec codec;
  private final List<ListedInstance> listed = new ArrayList<>();
  private BiConsumer<Cluster, Node> extension = (cluster, node) -> {};
  private boolean listDown;
  private long listReads;

  /** Creates an empty cluster. */
  public Cluster(long seed, PeerCodec codec) {
    this.random = new Random(seed);
    this.codec = codec;
  }

  /** Creates an empty cluster whose instances exchange membership messages only. */
  public static Cluster of(long seed) {
    return new Cluster(seed, PeerCodec.ofAll(MembershipMessages.MESSAGE_TYPES));
  }

  /** Sets an action that extends each node before it starts. */
  public void extend(BiConsumer<Cluster, Node> added) {
    extension = added;
  }

  /** One process of an instance. */
  public record Node(
      InstanceId id, ProcessTimer timer, PeerNetwork network, MembershipController membership) {}

  private static FailureDomain domainOf(String name) {
    return FailureDomain.of(name.substring(0, name.lastIndexOf('.')));
  }

  /** Adds instances "domain.number" to the platform's list. */
  public void addToList(String... names) {
    for (String name : names) {
      listed.add(
          new ListedInstance(
              name,
              ListedInstance.Kind.ENTRY,
              domainOf(name),
              "10.0.0.1",
              1000,
              "",
              ListedInstance.State.LIVE));
    }
  }

  /** Makes reads of the platform's list fail or succeed. */
  public void setListDown(boolean down) {
    listDown = down;
  }

  /** Returns the number of reads of the platform's list. */
  public long listReads() {
    return listReads;
  }

  /** Starts processes of listed instances with the current time as incarnation. */
  public void start(String... names) {
    for (String name : names) {
      start(name, List.of());
    }
  }

  /** Starts a process with seeds after a random delay of less than 500 ms. */
  public Node start(String name, List<ListedInstance> seeds) {
    InstanceId id = InstanceId.of(name);
    ProcessTimer timer = new ProcessTimer(clock);
    PeerNetwork network = new MeteredNetwork(id, peers.join(id), codec, bytes);
    Member self =
        new Member(id, domainOf(name), "10.0.0.1", 1000, clock.epochMillis(), Member.State.ALIVE);
    InstanceList list = this::readList;
    MembershipController membership =
        MembershipController.of(
            self,
            MembershipSettings.defaults(),
            seeds,
            list,
            network,
            timer,
            EventLog.none(),
            new Random(random.nextLong()));
    Node node = new Node(id, timer, network, membership);
    nodes.put(name, node);
    extension.accept(this, node);
    clock.after(Duration.ofMillis(random.nextInt(500)), membership::start);
    return node;
  }

  private CompletableFuture<List<ListedInstance>> readList() {
    listReads++;
    return listDown
        ? CompletableFuture.failedFuture(
            Failure.notRun(FailureType.PLATFORM_UNAVAILABLE, "down").toException())
        : CompletableFuture.completedFuture(List.copyOf(listed));
  }

  /** Returns the entries of the platform's list. */
  public List<ListedInstance> listed() {
    return List.copyOf(listed);
  }

  /** Returns a running node, null if none of that name runs. */
  public Node node(String name) {
    return nodes.get(name);
  }

  /** Returns all running nodes. */
  public Collection<Node> nodes() {
    return List.copyOf(nodes.values());
  }

  /** Kills a process. */
  public void crash(String name) {
    Node node = nodes.remove(name);
    node.timer().end();
    peers.crash(node.id());
  }

  /** Pauses a process: its timers and messages are held back. */
  public void pause(String name) {
    nodes.get(name).timer().pause();
    peers.pause(InstanceId.of(name));
  }

  /** Resumes a paused process; messages held back are handled after its timers. */
  public void resume(String name) {
    nodes.get(name).timer().resume();
    peers.resume(InstanceId.of(name));
  }

  /** Cuts the network between two failure domains. */
  public void cut(String one, String other) {
    forPairs(one, other, peers::cut);
  }

  /** Ends a cut. */
  public void heal(String one, String other) {
    forPairs(one, other, peers::heal);
  }

  private void forPairs(String one, String other, BiConsumer<InstanceId, InstanceId> action) {
    for (String left : nodes.keySet()) {
      for (String right : nodes.keySet()) {
        if (domainOf(left).value().equals(one) && domainOf(right).value().equals(other)) {
          action.accept(InstanceId.of(left), InstanceId.of(right));
        }
      }
    }
  }

  /** Advances the virtual clock. */
  public void advance(Duration duration) {
    clock.advance(duration);
  }

  /** Returns the state of a member in an instance's view, "-" if the view lacks it. */
  public String stateInViewOf(String observer, String member) {
    return node(observer)
        .membership()
        .view()
        .find(InstanceId.of(member))
        .map(found -> found.state().name())
        .orElse("-");
  }
}
