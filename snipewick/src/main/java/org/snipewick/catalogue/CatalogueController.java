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
 * Keeps the catalogue in force on this instance, accepts changes of operators and spreads them. All
 * changes of state happen on the timer's thread.
 */
public final class CatalogueController implements CatalogueSource, VersionGossip {
  private static final Duration SPREAD_TIMEOUT = Duration.ofSeconds(2);
  private static final int MAX_HISTORY = 100;

  private final Membership membership;
  private final TimerService timer;
  private final EventLog log;
  private final RandomGenerator random;
  private final InForce inForce;
  private final ChangeTable table;
  private final CatalogueSpread spread;
  private final CatalogueLoader loader;
  private final ChangeHistory history;
  private final TimerThread thread;
  private final Map<InstanceId, Long> heardVersions = new ConcurrentHashMap<>();

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
    this.inForce = new InForce(log);
    this.table = new ChangeTable(table, timer, log, random);
    this.spread = new CatalogueSpread(membership, network, random);
    this.loader =
        new CatalogueLoader(inForce, this.table, store, membership, network, timer, random);
    this.thread = new TimerThread(timer);
    this.history = new ChangeHistory(inForce, this.table, thread);
    new CatalogueServer(inForce, loader, spread, thread).register(network);
  }

  /**
   * Creates the catalogue of an instance; it does nothing until started.
   *
   * @param membership membership, whose heartbeats are to carry this object
   * @param table the platform's table
   * @param store the platform's object store
   * @param network network to the other instances
   * @param timer clock and timer; everything runs on its thread
   * @param log event log
   * @param random source of jitter and of identifiers; used by the timer's thread only
   * @return catalogue
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
   * Starts taking the catalogue from the platform and from peers.
   *
   * @return completes when a catalogue has been taken from either
   */
  public CompletableFuture<Void> start() {
    return loader.start();
  }

  /** Ends all activity. */
  public void close() {
    loader.stop();
  }

  @Override
  public Catalogue current() {
    return inForce.current();
  }

  @Override
  public void subscribe(Consumer<Catalogue> listener) {
    inForce.subscribe(listener);
  }

  @Override
  public long version() {
    return inForce.version();
  }

  @Override
  public void heard(InstanceId from, long version) {
    heardVersions.put(from, version);
    loader.heard(from, version);
  }

  /**
   * Makes a proposal, whose identifier tells a change apart from all others.
   *
   * @param operator who makes it
   * @param baseVersion version that the edits are made to
   * @param edits what changes
   * @return proposal for {@link #submit}
   */
  public CompletableFuture<Proposal> propose(String operator, long baseVersion, List<Edit> edits) {
    return thread.call(
        () -> {
          String id = Change.identifier(baseVersion + 1, random.nextLong());
          Change change = new Change(id, operator, timer.epochMillis(), edits);
          return CompletableFuture.completedFuture(new Proposal(baseVersion + 1, change));
        });
  }

  /**
   * Puts a proposal into force everywhere, if nobody else has changed the catalogue meanwhile.
   *
   * @param proposal what {@link #propose} returned
   * @return who confirmed, after at most two seconds of spreading; fails with {@link
   *     FailureType#CATALOGUE_INVALID}, {@link FailureType#CATALOGUE_CONFLICT} or {@link
   *     FailureType#PLATFORM_UNAVAILABLE} if it never takes effect, and with {@link
   *     FailureType#OUTCOME_UNKNOWN} if it may have been accepted
   */
  public CompletableFuture<Acceptance> submit(Proposal proposal) {
    requireNonNull(proposal, "proposal");
    return thread.call(
        () -> {
          if (proposal.version() > inForce.version() + 1) {
            return loader.catchUp().thenCompose(done -> thread.call(() -> insert(proposal)));
          }
          return insert(proposal);
        });
  }

  /**
   * Asks what has become of a change.
   *
   * @param changeId identifier of the change
   * @return state; fails with {@link FailureType#NOT_FOUND} if there can be no such change, or
   *     {@link FailureType#PLATFORM_UNAVAILABLE}
   */
  public CompletableFuture<ChangeState> stateOf(String changeId) {
    return history.stateOf(changeId);
  }

  /**
   * Lists accepted changes.
   *
   * @param after version after which to start
   * @return at most a hundred changes with the versions that they made, in order; fails with {@link
   *     FailureType#PLATFORM_UNAVAILABLE}
   */
  public CompletableFuture<SortedMap<Long, Change>> history(long after) {
    return history.after(after);
  }

  /**
   * Tells how far the catalogue has spread.
   *
   * @return status as this instance sees it
   */
  public CatalogueStatus status() {
    MembershipView view = membership.view();
    SortedMap<String, Long> versions = new TreeMap<>();
    List<String> unreachable = new ArrayList<>();
    for (Member member : view.members().values()) {
      if (member.state() == Member.State.DEAD) {
        unreachable.add(member.id().value());
      } else if (heardVersions.containsKey(member.id())) {
        versions.put(member.id().value(), heardVersions.get(member.id()));
      }
    }
    unreachable.sort(null);
    return new CatalogueStatus(
        inForce.version(), versions, unreachable, loader.isPlatformReachable());
  }

  private CompletableFuture<Acceptance> insert(Proposal proposal) {
    if (proposal.version() != inForce.version() + 1) {
      return failed(conflict(proposal));
    }
    List<String> faults = EditCheck.faultsOf(inForce.current(), proposal.change().edits());
    if (!faults.isEmpty()) {
      return failed(Failure.notRun(FailureType.CATALOGUE_INVALID, String.join("; ", faults)));
    }
    return table
        .insert(proposal)
        .thenCompose(accepted -> thread.call(() -> settle(proposal, accepted)));
  }

  private CompletableFuture<Acceptance> settle(Proposal proposal, Change accepted) {
    inForce.apply(proposal.version(), accepted);
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
    loader.storeSnapshot(proposal.version());
    return spread
        .toAll(proposal)
        .thenApply(confirmed -> acceptance(proposal, confirmed))
        .applyToEither(timeLimit(proposal), acceptance -> acceptance);
  }

  /** Completes when waiting for confirmations has lasted long enough. */
  private CompletableFuture<Acceptance> timeLimit(Proposal proposal) {
    CompletableFuture<Acceptance> limit = new CompletableFuture<>();
    timer.after(
        SPREAD_TIMEOUT, () -> limit.complete(acceptance(proposal, confirmedByHeartbeat(proposal))));
    return limit;
  }

  private Set<InstanceId> confirmedByHeartbeat(Proposal proposal) {
    Set<InstanceId> confirmed = new java.util.HashSet<>(Set.of(membership.view().self()));
    heardVersions.forEach(
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
            + inForce.version()
            + " is in force";
    return Failure.notRun(FailureType.CATALOGUE_CONFLICT, detail);
  }

  private static <T> CompletableFuture<T> failed(Failure failure) {
    return CompletableFuture.failedFuture(failure.toException());
  }
}
