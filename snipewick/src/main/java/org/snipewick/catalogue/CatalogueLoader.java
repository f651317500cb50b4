package org.snipewick.catalogue;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.random.RandomGenerator;
import org.snipewick.identity.InstanceId;
import org.snipewick.membership.Membership;
import org.snipewick.membership.MembershipView;
import org.snipewick.peer.PeerMessage;
import org.snipewick.peer.PeerNetwork;
import org.snipewick.store.ObjectStore;
import org.snipewick.time.TimerService;

/**
 * Loader that keeps the catalogue in force up to date: it polls the platform for the next version,
 * and fetches missing changes from a peer with a higher version. The mean poll period of an
 * instance grows with the number of reachable members of its domain, so that a domain polls at most
 * twice a second on average. Mutable state other than the two volatile flags is confined to the
 * timer's thread.
 */
final class CatalogueLoader {
  static final int SNAPSHOT_INTERVAL_VERSIONS = 100;

  private static final String SNAPSHOT_NAME = "catalogue/snapshot";
  private static final Duration MIN_POLL_PERIOD = Duration.ofSeconds(2);
  private static final Duration POLL_PERIOD_PER_MEMBER = Duration.ofMillis(500);
  private static final Duration FETCH_TIMEOUT = Duration.ofSeconds(3);
  private static final long CATCH_UP_TIMEOUT_NANOS = Duration.ofSeconds(10).toNanos();

  private final CurrentCatalogue currentCatalogue;
  private final ChangeTable table;
  private final ObjectStore store;
  private final Membership membership;
  private final PeerNetwork network;
  private final TimerService timer;
  private final RandomGenerator random;
  private final CompletableFuture<Void> ready = new CompletableFuture<>();
  private CompletableFuture<Void> currentCatchUp = CompletableFuture.completedFuture(null);
  private long catchUpStartedNanos;
  private CompletableFuture<Void> currentFetch = CompletableFuture.completedFuture(null);
  private boolean snapshotRead;
  private volatile boolean platformReachable;
  private volatile boolean stopped;

  CatalogueLoader(
      CurrentCatalogue currentCatalogue,
      ChangeTable table,
      ObjectStore store,
      Membership membership,
      PeerNetwork network,
      TimerService timer,
      RandomGenerator random) {
    this.currentCatalogue = requireNonNull(currentCatalogue, "currentCatalogue");
    this.table = requireNonNull(table, "table");
    this.store = requireNonNull(store, "store");
    this.membership = requireNonNull(membership, "membership");
    this.network = requireNonNull(network, "network");
    this.timer = requireNonNull(timer, "timer");
    this.random = requireNonNull(random, "random");
  }

  /** Starts polling; completes when the catalogue has been loaded from the platform or a peer. */
  CompletableFuture<Void> start() {
    timer.after(Duration.ZERO, this::pollRepeatedly);
    return ready;
  }

  /** Stops polling. */
  void stop() {
    stopped = true;
  }

  InstanceId self() {
    return membership.view().self();
  }

  /** Returns whether the last read of the platform succeeded; may be called from any thread. */
  boolean isPlatformReachable() {
    return platformReachable;
  }

  /**
   * Applies changes from the platform until it has no later version; completes normally also if a
   * read fails. If such a run is in progress, returns its future, unless it has taken longer than
   * {@link #CATCH_UP_TIMEOUT_NANOS}.
   */
  CompletableFuture<Void> catchUp() {
    boolean timedOut = timer.nanoTime() - catchUpStartedNanos > CATCH_UP_TIMEOUT_NANOS;
    if (currentCatchUp.isDone() || timedOut) {
      catchUpStartedNanos = timer.nanoTime();
      currentCatchUp = new CompletableFuture<>();
      readSnapshotAndChanges(currentCatchUp);
    }
    return currentCatchUp;
  }

  /** Fetches the missing changes from a peer if its version is higher and no fetch is running. */
  void onPeerVersion(InstanceId from, long version) {
    if (version > currentCatalogue.version() && currentFetch.isDone()) {
      var ignored = fetchFrom(from);
    }
  }

  /**
   * Fetches all changes after the version in force from a peer and applies them; completes normally
   * also on failure.
   */
  CompletableFuture<Void> fetchFrom(InstanceId peer) {
    CompletableFuture<Void> done = new CompletableFuture<>();
    currentFetch = done;
    network
        .call(peer, new CatalogueMessages.Fetch(currentCatalogue.version()), FETCH_TIMEOUT)
        .whenComplete(
            (reply, failure) ->
                timer.after(
                    Duration.ZERO,
                    () -> {
                      applyReply(reply);
                      done.complete(null);
                    }));
    return done;
  }

  /** Stores the catalogue in force as the snapshot if one is due at this version. */
  void storeSnapshotIfDue(long version) {
    Catalogue current = currentCatalogue.current();
    if (version % SNAPSHOT_INTERVAL_VERSIONS == 0 && current.version() >= version) {
      var ignored = store.put(SNAPSHOT_NAME, CatalogueJson.writeCatalogue(current));
    }
  }

  private void pollRepeatedly() {
    if (stopped) {
      return;
    }
    var ignored = catchUp();
    timer.after(nextDelay(), this::pollRepeatedly);
  }

  /** Returns the delay until the next poll: the mean poll period, 50 % more or less at random. */
  private Duration nextDelay() {
    MembershipView view = membership.view();
    int members = view.reachableIn(view.localDomain()).size();
    Duration scaled = POLL_PERIOD_PER_MEMBER.multipliedBy(members);
    Duration mean = scaled.compareTo(MIN_POLL_PERIOD) > 0 ? scaled : MIN_POLL_PERIOD;
    return Duration.ofNanos((long) (mean.toNanos() * (0.5 + random.nextDouble())));
  }

  /**
   * Reads the snapshot, unless it has been read or a catalogue has been loaded, and then the
   * changes after it.
   */
  private void readSnapshotAndChanges(CompletableFuture<Void> done) {
    if (snapshotRead || ready.isDone()) {
      readNextChange(done);
      return;
    }
    store
        .get(SNAPSHOT_NAME)
        .whenComplete(
            (snapshot, failure) -> timer.after(Duration.ZERO, () -> applySnapshot(snapshot, done)));
  }

  private void applySnapshot(Optional<byte[]> snapshot, CompletableFuture<Void> done) {
    if (snapshot == null) {
      platformReachable = false;
      done.complete(null);
      return;
    }
    snapshotRead = true;
    snapshot.flatMap(CatalogueJson::readCatalogue).ifPresent(currentCatalogue::replace);
    readNextChange(done);
  }

  private void readNextChange(CompletableFuture<Void> done) {
    long next = currentCatalogue.version() + 1;
    table
        .read(next)
        .whenComplete(
            (change, failure) ->
                timer.after(
                    Duration.ZERO,
                    () -> {
                      platformReachable = failure == null;
                      applyNextChange(next, change, done);
                    }));
  }

  private void applyNextChange(
      long version, Optional<Change> change, CompletableFuture<Void> done) {
    if (change != null && change.isPresent()) {
      currentCatalogue.apply(version, change.get());
      readNextChange(done);
      return;
    }
    if (change != null) {
      ready.complete(null);
    }
    done.complete(null);
  }

  private void applyReply(PeerMessage reply) {
    if (reply instanceof CatalogueMessages.Changes changes) {
      List<Change> list = changes.changes();
      for (int i = 0; i < list.size(); i++) {
        currentCatalogue.apply(changes.after() + 1 + i, list.get(i));
      }
    } else if (reply instanceof CatalogueMessages.Snapshot snapshot) {
      currentCatalogue.replace(Catalogue.ofAll(snapshot.version(), snapshot.entries()));
    }
    if (reply != null && currentCatalogue.version() > 0) {
      ready.complete(null);
    }
  }
}
