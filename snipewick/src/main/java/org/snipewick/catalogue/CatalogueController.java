package org.snipewick.catalogue;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.snipewick.event.EventLog;
import org.snipewick.event.EventType;
import org.snipewick.failure.Failure;
import org.snipewick.failure.FailureType;
import org.snipewick.identity.InstanceId;
import org.snipewick.membership.Member;
import org.snipewick.membership.Membership;
import org.snipewick.membership.MembershipView;
import org.snipewick.membership.VersionGossip;
import org.snipewick.peer.PeerNetwork;
import org.snipewick.store.ObjectStore;
import org.snipewick.store.Table;
import org.snipewick.time.TimerService;

/**
 * Controller of the catalogue on this instance: keeps it up to date, accepts changes of operators
 * and propagates them to the other instances. All state is changed on the timer's thread; the
 * catalogue in force may be read from any thread.
 */
public final class CatalogueController implements CatalogueSource, VersionGossip {
  private static final Duration CONFIRMATION_TIMEOUT = Duration.ofSeconds(2);
  private static final int MAX_HISTORY = 100;

  private final Membership membership;
  private final TimerService timer;
  private final EventLog log;
  private final RandomGenerator random;
  private final CurrentCatalogue currentCatalogue;
  private final ChangeTable table;
  private final ChangeBroadcaster broadcaster;
  private final CatalogueLoader loader;
  private final ChangeHistory history;
  private final TimerThread timerThread;
  private final Map<InstanceId, Long> peerVersions = new ConcurrentHashMap<>();

  private CatalogueController(
      Membership membership,
      Table table,
      ObjectStore store,
      PeerNetwork network,
      TimerService timer,
      EventLog log,
      RandomGenerator random) {
    this.membership = requireNonNull(membership, "membership");
    this.timer = requireNonNull(timer, "timer");
    this.log = requireNonNull(log, "log");
    this.random = requireNonNull(random, "random");
    this.currentCatalogue = new CurrentCatalogue(log);
    this.table = new ChangeTable(table, timer, log, random);
    this.broadcaster = new ChangeBroadcaster(membership, network, random);
    this.loader =
        new CatalogueLoader(
            currentCatalogue, this.table, store, membership, network, timer, random);
    this.timerThread = new TimerThread(timer);
    this.history = new ChangeHistory(currentCatalogue, this.table, timerThread);
    new CatalogueServer(currentCatalogue, loader, broadcaster, timerThread).register(network);
  }

  /**
   * Creates the controller of an instance; it loads nothing until it is started.
   *
   * @param membership membership; the controller must be set as its {@link VersionGossip}, so that
   *     heartbeats carry the catalogue's version
   * @param table the platform's table, which holds the changes
   * @param store the platform's object store, which holds the snapshot
   * @param network network to the other instances
   * @param timer clock and timer; all state is changed on its thread
   * @param log event log
   * @param random source of jitter and of identifiers; used on the timer's thread only
   * @return controller, not started
   */
  public static CatalogueController of(
      Membership membership,
      Table table,
      ObjectStore store,
      PeerNetwork network,
      TimerService timer,
      EventLog log,
      RandomGenerator random) {
    return new CatalogueController(membership, table, store, network, timer, log, random);
  }

  /**
   * Starts loading the catalogue from the platform and from peers.
   *
   * @return future that completes when the catalogue has been loaded from either
   */
  public CompletableFuture<Void> start() {
    return loader.start();
  }

  /** Stops polling the platform. */
  public void close() {
    loader.stop();
  }

  @Override
  public Catalogue current() {
    return currentCatalogue.current();
  }

  @Override
  public void subscribe(Consumer<Catalogue> listener) {
    currentCatalogue.subscribe(listener);
  }

  @Override
  public long version() {
    return currentCatalogue.version();
  }

  @Override
  public void onVersion(InstanceId from, long version) {
    peerVersions.put(from, version);
    loader.onPeerVersion(from, version);
  }

  /**
   * Creates a proposal with a change identifier of its own; nothing is written yet.
   *
   * @param operator name of the operator
   * @param baseVersion catalogue version that the edits apply to
   * @param edits edits
   * @return proposal for {@link #submit}
   */
  public CompletableFuture<Proposal> propose(String operator, long baseVersion, List<Edit> edits) {
    return timerThread.call(
        () -> {
          String id = Change.identifier(baseVersion + 1, random.nextLong());
          Change change = new Change(id, operator, timer.epochMillis(), edits);
          return CompletableFuture.completedFuture(new Proposal(baseVersion + 1, change));
        });
  }

  /**
   * Accepts a proposal and propagates it to all instances, unless the catalogue has changed since
   * the proposal's base version.
   *
   * @param proposal proposal that {@link #propose} returned
   * @return acceptance with the instances that confirmed within two seconds; fails with {@link
   *     FailureType#CATALOGUE_INVALID}, {@link FailureType#CATALOGUE_CONFLICT} or {@link
   *     FailureType#PLATFORM_UNAVAILABLE} if the change never takes effect, and with {@link
   *     FailureType#OUTCOME_UNKNOWN} if it may have been accepted
   */
  public CompletableFuture<Acceptance> submit(Proposal proposal) {
    requireNonNull(proposal, "proposal");
    return timerThread.call(
        () -> {
          if (proposal.version() > currentCatalogue.version() + 1) {
            return loader.catchUp().thenCompose(done -> timerThread.call(() -> insert(proposal)));
          }
          return insert(proposal);
        });
  }

  /**
   * Returns the state of a change.
   *
   * @param changeId identifier of the change
   * @return state; fails with {@link FailureType#NOT_FOUND} if the identifier is malformed, or with
   *     {@link FailureType#PLATFORM_UNAVAILABLE}
   */
  public CompletableFuture<ChangeState> stateOf(String changeId) {
    return history.stateOf(changeId);
  }

  /**
   * Returns accepted changes after a version.
   *
   * @param after version; only changes that created a later one are returned
   * @return the first 100 such changes at most, by the version that each created; fails with {@link
   *     FailureType#PLATFORM_UNAVAILABLE}
   */
  public CompletableFuture<SortedMap<Long, Change>> history(long after) {
    return history.after(after);
  }

  /**
   * Returns the versions in force on all known instances.
   *
   * @return status according to the state of this instance
   */
  public CatalogueStatus status() {
    MembershipView view = membership.view();
    SortedMap<String, Long> versions = new TreeMap<>();
    List<String> unreachable = new ArrayList<>();
    for (Member member : view.members().values()) {
      if (member.state() == Member.State.DEAD) {
        unreachable.add(member.id().value());
      } else if (peerVersions.containsKey(member.id())) {
        versions.put(member.id().value(), peerVersions.get(member.id()));
      }
    }
    unreachable.sort(null);
    return new CatalogueStatus(
        currentCatalogue.version(), versions, unreachable, loader.isPlatformReachable());
  }

  private CompletableFuture<Acceptance> insert(Proposal proposal) {
    if (proposal.version() != currentCatalogue.version() + 1) {
      return failed(conflict(proposal));
    }
    List<String> faults =
        EditValidator.findFaults(currentCatalogue.current(), proposal.change().edits());
    if (!faults.isEmpty()) {
      return failed(Failure.notRun(FailureType.CATALOGUE_INVALID, String.join("; ", faults)));
    }
    return table
        .insert(proposal)
        .thenCompose(accepted -> timerThread.call(() -> completeSubmission(proposal, accepted)));
  }

  private CompletableFuture<Acceptance> completeSubmission(Proposal proposal, Change accepted) {
    currentCatalogue.apply(proposal.version(), accepted);
    if (!accepted.changeId().equals(proposal.change().changeId())) {
      log.record(
          EventType.CATALOGUE_CONFLICT,
          "catalogue",
          Map.of("version", proposal.version(), "change", proposal.change().changeId()));
      return failed(conflict(proposal));
    }
    log.record(
        EventType.CATALOGUE_ACCEPTED,
        "catalogue",
        Map.of(
            "version", proposal.version(),
            "change", accepted.changeId(),
            "operator", accepted.operator()));
    loader.storeSnapshotIfDue(proposal.version());
    return broadcaster
        .sendToAll(proposal)
        .thenApply(confirmed -> acceptance(proposal, confirmed))
        .applyToEither(acceptanceAtTimeout(proposal), acceptance -> acceptance);
  }

  /**
   * Completes after {@link #CONFIRMATION_TIMEOUT}. This instance and those whose heartbeats carried
   * the proposal's version or a later one count as confirmed.
   */
  private CompletableFuture<Acceptance> acceptanceAtTimeout(Proposal proposal) {
    CompletableFuture<Acceptance> result = new CompletableFuture<>();
    timer.after(
        CONFIRMATION_TIMEOUT,
        () -> result.complete(acceptance(proposal, confirmedByHeartbeat(proposal))));
    return result;
  }

  private Set<InstanceId> confirmedByHeartbeat(Proposal proposal) {
    Set<InstanceId> confirmed = new java.util.HashSet<>(Set.of(membership.view().self()));
    peerVersions.forEach(
        (id, version) -> {
          if (version >= proposal.version()) {
            confirmed.add(id);
          }
        });
    return confirmed;
  }

  private Acceptance acceptance(Proposal proposal, Set<InstanceId> confirmed) {
    List<InstanceId> unreachable =
        membership.view().members().keySet().stream()
            .filter(id -> !confirmed.contains(id))
            .sorted()
            .toList();
    return new Acceptance(
        proposal.version(),
        proposal.change().changeId(),
        confirmed.stream().sorted().toList(),
        unreachable);
  }

  private Failure conflict(Proposal proposal) {
    String detail =
        "edits were made to version "
            + (proposal.version() - 1)
            + " but version "
            + currentCatalogue.version()
            + " is in force";
    return Failure.notRun(FailureType.CATALOGUE_CONFLICT, detail);
  }

  private static <T> CompletableFuture<T> failed(Failure failure) {
    return CompletableFuture.failedFuture(failure.toException());
  }
}
