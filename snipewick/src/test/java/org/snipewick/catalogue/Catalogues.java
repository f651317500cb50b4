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
import org.snipewick.store.InMemoryStore;
import org.snipewick.store.InMemoryTable;

/** Cluster whose instances have a catalogue. */
final class Catalogues {
  final InMemoryTable table = new InMemoryTable();
  final InMemoryStore store = new InMemoryStore();
  final Cluster cluster;
  private final Map<String, CatalogueController> controllers = new HashMap<>();
  private final Map<String, FaultyTable> tables = new HashMap<>();
  private final Random random;

  Catalogues(long seed) {
    random = new Random(seed);
    cluster =
        new Cluster(
            seed,
            PeerCodec.ofAll(MembershipMessages.MESSAGE_TYPES, CatalogueMessages.MESSAGE_TYPES));
    cluster.extend((all, node) -> extend(node));
  }

  private void extend(Cluster.Node node) {
    FaultyTable own = new FaultyTable(table);
    CatalogueController controller =
        CatalogueController.of(
            node.membership(),
            own,
            store,
            node.network(),
            node.timer(),
            EventLog.none(),
            new Random(random.nextLong()));
    node.membership().carry(controller);
    tables.put(node.id().value(), own);
    controllers.put(node.id().value(), controller);
    var ignored = controller.start();
  }

  /** Lists and starts instances and waits until they know each other. */
  Catalogues start(String... names) {
    cluster.list(names);
    cluster.start(names);
    cluster.advance(Duration.ofSeconds(15));
    return this;
  }

  CatalogueController on(String name) {
    return controllers.get(name);
  }

  FaultyTable tableOf(String name) {
    return tables.get(name);
  }

  long version(String name) {
    return on(name).version();
  }

  void advance(Duration duration) {
    cluster.advance(duration);
  }

  /** Submits an edit to the version in force on an instance and returns the future answer. */
  CompletableFuture<Acceptance> submit(String name, Edit... edits) {
    CatalogueController controller = on(name);
    return controller
        .propose("operator-of-" + name, controller.version(), List.of(edits))
        .thenCompose(controller::submit);
  }

  /** Makes accepted changes, one after the other. */
  void accept(String name, int changes) {
    for (int i = 0; i < changes; i++) {
      CompletableFuture<Acceptance> answer = submit(name, putModel("m" + i));
      advance(Duration.ofMillis(100));
      for (int wait = 0; wait < 30 && !answer.isDone(); wait++) {
        advance(Duration.ofMillis(100));
      }
      if (!answer.isDone() || answer.isCompletedExceptionally()) {
        throw new AssertionError("not accepted: " + answer);
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
