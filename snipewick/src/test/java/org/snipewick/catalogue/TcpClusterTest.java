package org.snipewick.catalogue;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.snipewick.event.EventLog;
import org.snipewick.identity.FailureDomain;
import org.snipewick.identity.InstanceId;
import org.snipewick.membership.Member;
import org.snipewick.membership.MembershipController;
import org.snipewick.membership.MembershipMessages;
import org.snipewick.membership.MembershipSettings;
import org.snipewick.peer.PeerCodec;
import org.snipewick.peer.tcp.TcpPeerNetwork;
import org.snipewick.store.InMemoryObjectStore;
import org.snipewick.store.InMemoryTable;
import org.snipewick.store.ListedInstance;
import org.snipewick.store.Row;
import org.snipewick.store.Table;
import org.snipewick.store.Write;
import org.snipewick.store.WriteResult;
import org.snipewick.time.SystemTimerService;

/** Runs membership and catalogue of several instances over TCP and with the system clock. */
@Timeout(60)
class TcpClusterTest {
  private static final PeerCodec CODEC =
      PeerCodec.ofAll(MembershipMessages.MESSAGE_TYPES, CatalogueMessages.MESSAGE_TYPES);

  private final Table table = new LockedTable();
  private final List<ListedInstance> listed = new CopyOnWriteArrayList<>();
  private final Map<String, Node> nodes = new LinkedHashMap<>();
  private final SystemTimerService observer = SystemTimerService.of("observer");

  private record Node(
      SystemTimerService timer,
      TcpPeerNetwork network,
      MembershipController membership,
      CatalogueController catalogue) {

    void kill() {
      membership.close();
      catalogue.close();
      network.close();
      timer.close();
    }
  }

  /** In-memory table that is thread-safe. */
  private static final class LockedTable implements Table {
    private final InMemoryTable table = new InMemoryTable();

    @Override
    public synchronized CompletableFuture<java.util.Optional<Row>> read(String key) {
      return table.read(key);
    }

    @Override
    public synchronized CompletableFuture<List<Row>> scan(String prefix) {
      return table.scan(prefix);
    }

    @Override
    public synchronized CompletableFuture<WriteResult> write(Write write) {
      return table.write(write);
    }
  }

  private void start(String name, long incarnation) {
    InstanceId id = InstanceId.of(name);
    FailureDomain domain = FailureDomain.of(name.substring(0, name.lastIndexOf('.')));
    SystemTimerService timer = SystemTimerService.of("timer-" + name);
    InetAddress loopback = InetAddress.getLoopbackAddress();
    TcpPeerNetwork network =
        TcpPeerNetwork.listen(
            id,
            incarnation,
            new InetSocketAddress(loopback, 0),
            CODEC,
            timer,
            EventLog.none(),
            new Random(1));
    String host = loopback.getHostAddress();
    Member self = new Member(id, domain, host, network.port(), incarnation, Member.State.ALIVE);
    MembershipController membership =
        MembershipController.of(
            self,
            MembershipSettings.defaults(),
            List.of(),
            () -> CompletableFuture.completedFuture(List.copyOf(listed)),
            network,
            timer,
            EventLog.none(),
            new Random(2));
    CatalogueController catalogue =
        CatalogueController.of(
            membership,
            table,
            new InMemoryObjectStore(),
            network,
            timer,
            EventLog.none(),
            new Random(3));
    membership.setVersionGossip(catalogue);
    listed.removeIf(instance -> instance.id().equals(name));
    listed.add(
        new ListedInstance(
            name,
            ListedInstance.Kind.ENTRY,
            domain,
            host,
            network.port(),
            "",
            ListedInstance.State.LIVE));
    membership.start();
    var ignored = catalogue.start();
    nodes.put(name, new Node(timer, network, membership, catalogue));
  }

  @AfterEach
  void stop() {
    nodes.values().forEach(Node::kill);
    observer.close();
  }

  /** Waits until a condition holds and returns the time that it took, in milliseconds. */
  private long await(String description, BooleanSupplier condition) {
    final long start = observer.nanoTime();
    CompletableFuture<Void> conditionMet = new CompletableFuture<>();
    var checks =
        observer.every(
            Duration.ofMillis(5),
            () -> {
              if (condition.getAsBoolean()) {
                conditionMet.complete(null);
              }
            });
    try {
      conditionMet.orTimeout(15, TimeUnit.SECONDS).join();
    } catch (java.util.concurrent.CompletionException timedOut) {
      throw new AssertionError("not within 15 s: " + description, timedOut);
    } finally {
      checks.cancel();
    }
    return TimeUnit.NANOSECONDS.toMillis(observer.nanoTime() - start);
  }

  private boolean allOthersReport(String member, Member.State state) {
    return nodes.entrySet().stream()
        .filter(entry -> !entry.getKey().equals(member))
        .allMatch(
            entry ->
                entry
                    .getValue()
                    .membership()
                    .view()
                    .find(InstanceId.of(member))
                    .filter(found -> found.state() == state)
                    .isPresent());
  }

  @Test
  void shouldAgreeOnMembersAndCatalogueWhenInstancesStartAndStop() {
    List<String> names = new ArrayList<>(List.of("wien.1", "wien.2", "wien.3", "linz.1", "linz.2"));
    for (String name : names) {
      start(name, System.currentTimeMillis());
    }
    await(
        "all alive",
        () -> names.stream().allMatch(name -> allOthersReport(name, Member.State.ALIVE)));
    await(
        "all active", () -> nodes.values().stream().allMatch(node -> node.membership().isActive()));

    CatalogueController first = nodes.get("wien.1").catalogue();
    CompletableFuture<Acceptance> acceptance =
        first
            .propose("operator", 0, List.of(CatalogueCluster.putModel("wick")))
            .thenCompose(first::submit);
    final long propagationMillis = await("change in force", () -> versionsAre(1));
    assertThat(acceptance.join().inForce()).hasSize(names.size());

    nodes.remove("wien.2").kill();
    final long deadMillis = await("dead", () -> allOthersReport("wien.2", Member.State.DEAD));
    start("wien.2", System.currentTimeMillis());
    final long aliveAgainMillis =
        await("alive again", () -> allOthersReport("wien.2", Member.State.ALIVE));
    await("catalogue loaded", () -> versionsAre(1));
    assertThat(nodes.get("linz.1").membership().recentLostProcesses()).isEmpty();
    assertThat(nodes.get("wien.1").membership().recentLostProcesses()).hasSize(1);
    System.out.printf(
        "tcp: 5 nodes, change in force after %d ms, failure detected by all after %d ms,"
            + " restart detected by all after %d ms%n",
        propagationMillis, deadMillis, aliveAgainMillis);
    assertThat(propagationMillis).isLessThan(4_000);
  }

  private boolean versionsAre(long version) {
    return nodes.values().stream().allMatch(node -> node.catalogue().version() == version);
  }
}
