package org.snipewick.catalogue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.snipewick.identity.InstanceId;
import org.snipewick.peer.PeerMessage;
import org.snipewick.peer.PeerNetwork;

/** Answers the catalogue messages of other instances, on the timer's thread. */
final class CatalogueServer {
  private final InForce inForce;
  private final CatalogueLoader loader;
  private final CatalogueSpread spread;
  private final TimerThread thread;

  CatalogueServer(
      InForce inForce, CatalogueLoader loader, CatalogueSpread spread, TimerThread thread) {
    this.inForce = inForce;
    this.loader = loader;
    this.spread = spread;
    this.thread = thread;
  }

  void register(PeerNetwork network) {
    network.handle(
        CatalogueMessages.Push.class,
        (from, push) -> thread.call(() -> push(from, push.version(), push.change())));
    network.handle(
        CatalogueMessages.Relay.class, (from, relay) -> thread.call(() -> relay(from, relay)));
    network.handle(
        CatalogueMessages.Fetch.class,
        (from, fetch) -> thread.call(() -> CompletableFuture.completedFuture(answer(fetch))));
  }

  private CompletableFuture<PeerMessage> push(InstanceId from, long version, Change change) {
    return take(from, version, change)
        .thenApply(
            taken ->
                new CatalogueMessages.Confirmation(taken ? List.of(loader.self()) : List.of()));
  }

  private CompletableFuture<PeerMessage> relay(InstanceId from, CatalogueMessages.Relay relay) {
    CompletableFuture<Boolean> here = take(from, relay.version(), relay.change());
    return spread
        .toOwnDomain(new Proposal(relay.version(), relay.change()))
        .thenCombine(
            here,
            (confirmed, taken) -> {
              List<InstanceId> inForceOn = new ArrayList<>(confirmed);
              if (!taken) {
                inForceOn.remove(loader.self());
              }
              return new CatalogueMessages.Confirmation(inForceOn);
            });
  }

  /** Puts a change into force here, after what it builds on; completes with whether it is. */
  private CompletableFuture<Boolean> take(InstanceId from, long version, Change change) {
    inForce.apply(version, change);
    if (inForce.version() >= version) {
      return CompletableFuture.completedFuture(true);
    }
    return loader.fetchFrom(from).thenApply(done -> inForce.version() >= version);
  }

  private PeerMessage answer(CatalogueMessages.Fetch fetch) {
    Optional<List<Change>> changes = inForce.changesAfter(fetch.after());
    if (changes.isPresent()) {
      return new CatalogueMessages.Changes(fetch.after(), changes.get());
    }
    Catalogue current = inForce.current();
    return new CatalogueMessages.Snapshot(
        current.version(), List.copyOf(current.entries().values()));
  }
}
