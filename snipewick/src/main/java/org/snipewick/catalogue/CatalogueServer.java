package org.snipewick.catalogue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.snipewick.identity.InstanceId;
import org.snipewick.peer.PeerMessage;
import org.snipewick.peer.PeerNetwork;

/** Handlers of the catalogue messages of peers, run on the timer's thread. */
final class CatalogueServer {
  private final CurrentCatalogue currentCatalogue;
  private final CatalogueLoader loader;
  private final ChangeBroadcaster broadcaster;
  private final TimerThread timerThread;

  CatalogueServer(
      CurrentCatalogue currentCatalogue,
      CatalogueLoader loader,
      ChangeBroadcaster broadcaster,
      TimerThread timerThread) {
    this.currentCatalogue = currentCatalogue;
    this.loader = loader;
    this.broadcaster = broadcaster;
    this.timerThread = timerThread;
  }

  /** Registers the handlers of all catalogue messages. */
  void register(PeerNetwork network) {
    network.handle(
        CatalogueMessages.Push.class,
        (from, push) -> timerThread.call(() -> handlePush(from, push.version(), push.change())));
    network.handle(
        CatalogueMessages.Relay.class,
        (from, relay) -> timerThread.call(() -> handleRelay(from, relay)));
    network.handle(
        CatalogueMessages.Fetch.class,
        (from, fetch) ->
            timerThread.call(() -> CompletableFuture.completedFuture(handleFetch(fetch))));
  }

  private CompletableFuture<PeerMessage> handlePush(InstanceId from, long version, Change change) {
    return applyOrFetch(from, version, change)
        .thenApply(
            applied ->
                new CatalogueMessages.Confirmation(applied ? List.of(loader.self()) : List.of()));
  }

  private CompletableFuture<PeerMessage> handleRelay(
      InstanceId from, CatalogueMessages.Relay relay) {
    CompletableFuture<Boolean> appliedLocally = applyOrFetch(from, relay.version(), relay.change());
    return broadcaster
        .sendToLocalDomain(new Proposal(relay.version(), relay.change()))
        .thenCombine(
            appliedLocally,
            (confirmed, applied) -> {
              List<InstanceId> inForceOn = new ArrayList<>(confirmed);
              if (!applied) {
                inForceOn.remove(loader.self());
              }
              return new CatalogueMessages.Confirmation(inForceOn);
            });
  }

  /**
   * Applies a change. If changes before it are missing, fetches all missing changes from the
   * sender. Completes with whether the change is in force.
   */
  private CompletableFuture<Boolean> applyOrFetch(InstanceId from, long version, Change change) {
    currentCatalogue.apply(version, change);
    if (currentCatalogue.version() >= version) {
      return CompletableFuture.completedFuture(true);
    }
    return loader.fetchFrom(from).thenApply(done -> currentCatalogue.version() >= version);
  }

  private PeerMessage handleFetch(CatalogueMessages.Fetch fetch) {
    Optional<List<Change>> changes = currentCatalogue.changesAfter(fetch.after());
    if (changes.isPresent()) {
      return new CatalogueMessages.Changes(fetch.after(), changes.get());
    }
    Catalogue current = currentCatalogue.current();
    return new CatalogueMessages.Snapshot(
        current.version(), List.copyOf(current.entries().values()));
  }
}
