package org.snipewick.catalogue;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import org.snipewick.event.EventLog;
import org.snipewick.identity.Tier;
import org.snipewick.membership.Cluster;
import org.snipewick.membership.MembershipMessages;
import org.snipewick.peer.PeerCodec;
import org.snipewick.store.InMemoryObjectStore;
import org.snipewick.store.InMemoryTable;

/** Simulated cluster whose instances run a catalogue controller, over a shared table and store. */
final class CatalogueCluster {
  final InMemoryTable table = new InMemoryTable();
  final InMemoryObjectStore store = new InMemoryObjectStore();
  final Cluster cluster;
  private final Map<String, CatalogueController> controllers = new HashMap<>();
  private final Map<String, FaultyTable> tables = new HashMap<>();
  private final Random random;

  CatalogueCluster(long seed) {
    random = new Random(seed);
    cluster =
        new Cluster(
            seed,
            PeerCodec.ofAll(MembershipMessages.MESSAGE_TYPES, CatalogueMessages.MESSAGE_TYPES));
    cluster.extend((all, node) -> addCatalogue(node));
  }

  private void addCatalogue(Cluster.Node node) {
    FaultyTable faultyTable = new FaultyTable(table);
    CatalogueController controller =
        CatalogueController.of(
            node.membership(),
            faultyTable,
            store,
            node.network(),
            node.timer(),
            EventLog.none(),
            new Random(random.nextLong()));
    node.membership().setVersionGossip(controller);
    tables.put(node.id().value(), faultyTable);
    controllers.put(node.id().value(), controller);
    var ignored = controller.start();
  }

  /** Lists and starts instances and advances time by 15 s, so that membership converges. */
  CatalogueCluster start(String... names) {
    cluster.addToList(names);
    cluster.start(names);
    cluster.advance(Duration.ofSeconds(15));
    return this;
  }

  CatalogueController controllerOf(String name) {
    return controllers.get(name);
  }

  FaultyTable tableOf(String name) {
    return tables.get(name);
  }

  long version(String name) {
    return controllerOf(name).version();
  }

  void advance(Duration duration) {
    cluster.advance(duration);
  }

  /** Submits edits of the version in force on an instance to that instance. */
  CompletableFuture<Acceptance> submit(String name, Edit... edits) {
    CatalogueController controller = controllerOf(name);
    return controller
        .propose("operator-of-" + name, controller.version(), List.of(edits))
        .thenCompose(controller::submit);
  }

  /** Submits changes one after the other and fails unless each is accepted within 3.1 s. */
  void acceptChanges(String name, int changes) {
    for (int i = 0; i < changes; i++) {
      CompletableFuture<Acceptance> acceptance = submit(name, putModel("m" + i));
      advance(Duration.ofMillis(100));
      for (int wait = 0; wait < 30 && !acceptance.isDone(); wait++) {
        advance(Duration.ofMillis(100));
      }
      if (!acceptance.isDone() || acceptance.isCompletedExceptionally()) {
        throw new AssertionError("not accepted: " + acceptance);
      }
    }
  }

  static Edit putModel(String name) {
    return new Edit.Put(new Entry.Model(name, "owner", Tier.TWO, 1000, 100, 60_000));
  }

  static Edit putTeam(String name, String tokenSha256) {
    return new Edit.Put(new Entry.Team(name, "owner", Tier.ONE, tokenSha256, 100, 10, 10));
  }
}
