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
 * Brings the catalogue in force up to date: by polling the platform for the next version, and from
 * whichever peer is ahead. The more members a domain has the more seldom each polls.
 */
final class CatalogueLoader {
  static final int SNAPSHOT_INTERVAL = 100;

  private static final String SNAPSHOT_NAME = "catalogue/snapshot";
  private static final Duration MIN_POLL_PERIOD = Duration.ofSeconds(2);
  private static final Duration POLL_PERIOD_PER_MEMBER = Duration.ofMillis(500);
  private static final Duration FETCH_TIMEOUT = Duration.ofSeconds(3);
  private static final long POLL_TIMEOUT_NANOS = Duration.ofSeconds(10).toNanos();

  private final InForce inForce;
  private final ChangeTable table;
  private final ObjectStore store;
  private final Membership membership;
  private final PeerNetwork network;
  private final TimerService timer;
  private final RandomGenerator random;
  private final CompletableFuture<Void> ready = new CompletableFuture<>();
  private CompletableFuture<Void> polling = CompletableFuture.completedFuture(null);
  private long pollStartedNanos;
  private CompletableFuture<Void> fetching = CompletableFuture.completedFuture(null);
  private boolean snapshotRead;
  private volatile boolean platformReachable;
  private volatile boolean stopped;

  CatalogueLoader(
      InForce inForce,
      ChangeTable table,
      ObjectStore store,
      Membership membership,
      PeerNetwork network,
      TimerService timer,
      RandomGenerator random) {
    this.inForce = requireNonNull(inForce, "inForce");
    this.table = requireNonNull(table, "table");
    this.store = requireNonNull(store, "store");
    this.membership = requireNonNull(membership, "membership");
    this.network = requireNonNull(network, "network");
    this.timer = requireNonNull(timer, "timer");
    this.random = requireNonNull(random, "random");
  }

  CompletableFuture<Void> start() {
    timer.after(Duration.ZERO, this::pollRepeatedly);
    return ready;
  }

  void stop() {
    stopped = true;
  }

  InstanceId self() {
    return membership.view().self();
  }

  boolean isPlatformReachable() {
    return platformReachable;
  }

  /** Reads the platform until there is no further version; completes also if it cannot. */
  CompletableFuture<Void> catchUp() {
    boolean stuck = timer.nanoTime() - pollStartedNanos > POLL_TIMEOUT_NANOS;
    if (polling.isDone() || stuck) {
      pollStartedNanos = timer.nanoTime();
      polling = new CompletableFuture<>();
      readPlatform(polling);
    }
    return polling;
  }

  /** Notes that a peer has a version, and fetches what is missing if it is ahead. */
  void heard(InstanceId from, long version) {
    if (version > inForce.version() && fetching.isDone()) {
      var ignored = fetchFrom(from);
    }
  }

  /** Fetches what came after the version in force; completes also if the peer does not answer. */
  CompletableFuture<Void> fetchFrom(InstanceId peer) {
    CompletableFuture<Void> done = new CompletableFuture<>();
    fetching = done;
    network
        .call(peer, new CatalogueMessages.Fetch(inForce.version()), FETCH_TIMEOUT)
        .whenComplete(
            (answer, failure) ->
                timer.after(
                    Duration.ZERO,
                    () -> {
                      take(answer);
                      done.complete(null);
                    }));
    return done;
  }

  /** Stores the catalogue in force if a snapshot is due at this version. */
  void storeSnapshot(long version) {
    Catalogue current = inForce.current();
    if (version % SNAPSHOT_INTERVAL == 0 && current.version() >= version) {
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

  private Duration nextDelay() {
    MembershipView view = membership.view();
    int members = view.reachableIn(view.ownDomain()).size();
    Duration shared = POLL_PERIOD_PER_MEMBER.multipliedBy(members);
    Duration mean = shared.compareTo(MIN_POLL_PERIOD) > 0 ? shared : MIN_POLL_PERIOD;
    return Duration.ofNanos((long) (mean.toNanos() * (0.5 + random.nextDouble())));
  }

  private void readPlatform(CompletableFuture<Void> done) {
    if (snapshotRead || ready.isDone()) {
      readNext(done);
      return;
    }
    store
        .get(SNAPSHOT_NAME)
        .whenComplete(
            (snapshot, failure) -> timer.after(Duration.ZERO, () -> takeSnapshot(snapshot, done)));
  }

  private void takeSnapshot(Optional<byte[]> snapshot, CompletableFuture<Void> done) {
    if (snapshot == null) {
      platformReachable = false;
      done.complete(null);
      return;
    }
    snapshotRead = true;
    snapshot.flatMap(CatalogueJson::readCatalogue).ifPresent(inForce::replace);
    readNext(done);
  }

  private void readNext(CompletableFuture<Void> done) {
    long next = inForce.version() + 1;
    table
        .read(next)
        .whenComplete(
            (change, failure) ->
                timer.after(
                    Duration.ZERO,
                    () -> {
                      platformReachable = failure == null;
                      takeNext(next, change, done);
                    }));
  }

  private void takeNext(long version, Optional<Change> change, CompletableFuture<Void> done) {
    if (change != null && change.isPresent()) {
      inForce.apply(version, change.get());
      readNext(done);
      return;
    }
    if (change != null) {
      ready.complete(null);
    }
    done.complete(null);
  }

  private void take(PeerMessage answer) {
    if (answer instanceof CatalogueMessages.Changes changes) {
      List<Change> list = changes.changes();
      for (int i = 0; i < list.size(); i++) {
        inForce.apply(changes.after() + 1 + i, list.get(i));
      }
    } else if (answer instanceof CatalogueMessages.Snapshot snapshot) {
      inForce.replace(Catalogue.ofAll(snapshot.version(), snapshot.entries()));
    }
    if (answer != null && inForce.version() > 0) {
      ready.complete(null);
    }
  }
}
