package org.snipewick.limits;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import org.snipewick.catalogue.CatalogueSource;
import org.snipewick.catalogue.Entry;
import org.snipewick.failure.Failure;
import org.snipewick.failure.FailureType;
import org.snipewick.identity.InstanceId;
import org.snipewick.identity.TeamName;
import org.snipewick.membership.Member;
import org.snipewick.membership.Membership;
import org.snipewick.membership.MembershipView;
import org.snipewick.membership.Rendezvous;
import org.snipewick.peer.PeerMessage;
import org.snipewick.peer.PeerNetwork;
import org.snipewick.time.TimerService;

/**
 * Team limits that are enforced over all instances by leased shares. The coordinator of a team, an
 * instance chosen by rendezvous hashing, divides the team's limits among the instances. Admission
 * of a request needs no message: instances report the demand of active teams to the coordinators
 * every two seconds, and sooner if it rises. {@link #tryAcquire} and {@link #release} are
 * thread-safe.
 */
public final class LeasedTeamLimits implements TeamLimits {
  /** Time between two checks of which demands are to be reported. */
  private static final Duration CHECK_PERIOD = Duration.ofMillis(500);

  /** Time after which the demand of a team is reported again although it has not risen. */
  private static final long REPORT_INTERVAL_NANOS = 2_000_000_000L;

  /** Time without a request after which the bucket of a team without a lease is removed. */
  private static final long IDLE_TIMEOUT_NANOS = 4_000_000_000L;

  /** Time without an answer of the coordinator after which a share moves towards an even one. */
  private static final long COORDINATOR_TIMEOUT_NANOS = 4_000_000_000L;

  /** A rise of demand above the last report by more than this share is reported at once. */
  private static final double REPORTED_RISE_SHARE = 0.1;

  /** Share of each limit that is divided evenly among all instances and needs no lease. */
  private static final double BASE_SHARE = 0.1;

  /** Part of the difference from an even share that remains after each check while cut off. */
  private static final double CUT_OFF_DECAY_FACTOR = 0.95;

  private static final long MIN_RETRY_AFTER_MILLIS = 100;
  private static final long MAX_RETRY_AFTER_MILLIS = 10_000;

  private final Membership membership;
  private final PeerNetwork network;
  private final TimerService timer;
  private final CatalogueSource catalogue;
  private final Map<TeamName, TeamBucket> buckets = new ConcurrentHashMap<>();
  private final Map<TeamName, DemandReport> reports = new HashMap<>();
  private final ShareAllocator allocator = new ShareAllocator();
  private long lastCheckNanos;

  /**
   * Latest report to a coordinator, its answer, and the smoothed demand, which goes on changing
   * between reports.
   */
  private record DemandReport(
      InstanceId coordinator,
      double smoothedDemand,
      double reportedDemand,
      double grantedShare,
      long sentNanos,
      long answeredNanos) {
    static DemandReport none(InstanceId coordinator, long nowNanos) {
      return new DemandReport(coordinator, 0, 0, 0, nowNanos - REPORT_INTERVAL_NANOS, nowNanos);
    }

    DemandReport withSmoothedDemand(double demand) {
      return new DemandReport(
          coordinator, demand, reportedDemand, grantedShare, sentNanos, answeredNanos);
    }

    DemandReport withGrantedShare(double share, long nowNanos) {
      return new DemandReport(
          coordinator, smoothedDemand, reportedDemand, share, sentNanos, nowNanos);
    }

    DemandReport sentTo(InstanceId current, double demand, long nowNanos) {
      return new DemandReport(
          current, smoothedDemand, demand, grantedShare, nowNanos, answeredNanos);
    }

    /**
     * Returns whether to report now: a rise of demand and a new coordinator at once, a fall only
     * with the next renewal of the share.
     */
    boolean isDue(InstanceId current, double demand, long nowNanos) {
      return nowNanos - sentNanos >= REPORT_INTERVAL_NANOS
          || !current.equals(coordinator)
          || demand > (1 + REPORTED_RISE_SHARE) * reportedDemand;
    }
  }

  private LeasedTeamLimits(
      Membership membership, PeerNetwork network, TimerService timer, CatalogueSource catalogue) {
    this.membership = requireNonNull(membership, "membership");
    this.network = requireNonNull(network, "network");
    this.timer = requireNonNull(timer, "timer");
    this.catalogue = requireNonNull(catalogue, "catalogue");
    this.lastCheckNanos = timer.nanoTime();
  }

  /**
   * Starts to enforce the limits and to report demand.
   *
   * @param membership members of the system
   * @param network peer network, whose handlers of limit messages are set
   * @param timer source of time, which also runs the reports and the handlers
   * @param catalogue source of the teams' limits
   * @return started limits
   */
  public static LeasedTeamLimits start(
      Membership membership, PeerNetwork network, TimerService timer, CatalogueSource catalogue) {
    LeasedTeamLimits limits = new LeasedTeamLimits(membership, network, timer, catalogue);
    network.handle(
        LimitMessages.Demands.class,
        (from, demands) -> limits.handle(() -> limits.sendShares(from, demands)));
    network.handle(
        LimitMessages.Shares.class,
        (from, shares) -> limits.handle(() -> limits.applyShares(from, shares)));
    membership.subscribe((before, after) -> limits.runOnTimer(limits::reportDemands));
    timer.every(CHECK_PERIOD, limits::reportDemands);
    return limits;
  }

  @Override
  public Optional<Failure> tryAcquire(TeamName team, long tokens) {
    Optional<Entry.Team> entry = entry(team);
    if (entry.isEmpty()) {
      return Optional.of(Failure.notRun(FailureType.FORBIDDEN, "unknown team"));
    }
    return tryAcquire(team, entry.get(), tokens, timer.nanoTime());
  }

  private Optional<Failure> tryAcquire(
      TeamName team, Entry.Team entry, long tokens, long nowNanos) {
    TeamBucket bucket =
        buckets.computeIfAbsent(team, ignored -> TeamBucket.of(entry, baseShare(), nowNanos));
    return switch (bucket.tryAcquire(entry, tokens, nowNanos)) {
      case ADMITTED -> Optional.empty();
      case REFUSED -> Optional.of(refusal(team, bucket.waitMillis(entry, nowNanos)));
      case CLOSED -> {
        buckets.remove(team, bucket);
        yield tryAcquire(team, entry, tokens, nowNanos);
      }
    };
  }

  private static Failure refusal(TeamName team, long waitMillis) {
    long retryAfterMillis =
        Math.min(MAX_RETRY_AFTER_MILLIS, Math.max(MIN_RETRY_AFTER_MILLIS, waitMillis));
    return Failure.notRun(FailureType.LIMIT_EXCEEDED, "limit of team " + team + " exceeded")
        .withRetryAfter(Duration.ofMillis(retryAfterMillis));
  }

  /**
   * {@inheritDoc}
   *
   * <p>A bucket with requests in flight is kept even if its team is not in the catalogue.
   */
  @Override
  public void release(TeamName team, long reserved, long used) {
    TeamBucket bucket = buckets.get(team);
    if (bucket != null) {
      bucket.release();
      entry(team).ifPresent(entry -> bucket.adjustTokens(entry, reserved, used, timer.nanoTime()));
    }
  }

  private Optional<Entry.Team> entry(TeamName team) {
    return catalogue.current().find(Entry.Team.class, team.value());
  }

  /** Returns the share of every limit that each instance holds without a lease. */
  private double baseShare() {
    return BASE_SHARE / Math.max(1, membership.view().members().size());
  }

  private CompletableFuture<PeerMessage> handle(Runnable task) {
    runOnTimer(task);
    return CompletableFuture.completedFuture(null);
  }

  private void runOnTimer(Runnable task) {
    var unused = timer.after(Duration.ZERO, task);
  }

  /** Answers the demands of an instance with its shares, as the coordinator of their teams. */
  private void sendShares(InstanceId from, LimitMessages.Demands message) {
    if (!membership.isActive()) {
      allocator.clear();
      return;
    }
    double allocatableShare = reachableShareOfDomains();
    List<LimitMessages.Share> shares = new ArrayList<>();
    for (LimitMessages.Demand demand : message.demands()) {
      double share =
          allocator.renewLease(
              demand.team(),
              from,
              demand.wanted(),
              demand.held(),
              allocatableShare,
              timer.nanoTime());
      shares.add(new LimitMessages.Share(demand.team(), (float) share));
    }
    network.send(from, new LimitMessages.Shares(shares));
  }

  /** Returns the share of the failure domains that this instance can reach. */
  private double reachableShareOfDomains() {
    MembershipView view = membership.view();
    long reachable =
        view.byDomain().keySet().stream()
            .filter(domain -> !view.reachableIn(domain).isEmpty())
            .count();
    return (double) reachable / view.byDomain().size();
  }

  private void applyShares(InstanceId from, LimitMessages.Shares message) {
    for (LimitMessages.Share share : message.shares()) {
      DemandReport report = reports.get(share.team());
      TeamBucket bucket = buckets.get(share.team());
      if (report != null && bucket != null && report.coordinator().equals(from)) {
        long now = timer.nanoTime();
        double total = baseShare() + (1 - BASE_SHARE) * share.share();
        entry(share.team()).ifPresent(entry -> bucket.setShare(entry, total, now));
        reports.put(share.team(), report.withGrantedShare(share.share(), now));
      }
    }
  }

  private void reportDemands() {
    long now = timer.nanoTime();
    double seconds = (now - lastCheckNanos) / 1e9;
    if (seconds <= 0) {
      return;
    }
    lastCheckNanos = now;
    MembershipView view = membership.view();
    List<Member> alive =
        view.members().values().stream()
            .filter(member -> member.state() == Member.State.ALIVE)
            .toList();
    Map<InstanceId, List<LimitMessages.Demand>> demandsByCoordinator = new HashMap<>();
    for (Map.Entry<TeamName, TeamBucket> each : buckets.entrySet()) {
      Rendezvous.first("team/" + each.getKey(), alive, member -> member.id().value())
          .ifPresent(
              coordinator ->
                  reportDemand(
                      each.getKey(),
                      each.getValue(),
                      coordinator.id(),
                      seconds,
                      demandsByCoordinator));
    }
    demandsByCoordinator.forEach(
        (coordinator, demands) -> network.send(coordinator, new LimitMessages.Demands(demands)));
  }

  private void reportDemand(
      TeamName team,
      TeamBucket bucket,
      InstanceId coordinator,
      double seconds,
      Map<InstanceId, List<LimitMessages.Demand>> demandsByCoordinator) {
    long now = timer.nanoTime();
    Optional<Entry.Team> entry = entry(team);
    boolean isIdle = bucket.inFlight() == 0 && now - bucket.lastUsedNanos() > IDLE_TIMEOUT_NANOS;
    if (entry.isEmpty() || (isIdle && !reports.containsKey(team))) {
      if (bucket.close()) {
        buckets.remove(team, bucket);
        reports.remove(team);
      }
      return;
    }
    boolean needsNoShare = isIdle || bucket.needsNoShare(entry.get(), now);
    double currentDemand = bucket.takeDemand(entry.get(), seconds);
    if (needsNoShare && !reports.containsKey(team)) {
      return;
    }
    DemandReport last = reports.getOrDefault(team, DemandReport.none(coordinator, now));
    double smoothedDemand = 0.5 * last.smoothedDemand() + 0.5 * currentDemand;
    double demand = needsNoShare ? 0 : smoothedDemand;
    decayWhenCutOff(bucket, entry.get(), last, now);
    DemandReport current = last.withSmoothedDemand(smoothedDemand);
    if (needsNoShare || last.isDue(coordinator, demand, now)) {
      demandsByCoordinator
          .computeIfAbsent(coordinator, ignored -> new ArrayList<>())
          .add(new LimitMessages.Demand(team, (float) demand, (float) last.grantedShare()));
      current = current.sentTo(coordinator, demand, now);
    }
    reports.put(team, current);
    if (needsNoShare) {
      bucket.setShare(entry.get(), baseShare(), now);
      reports.remove(team);
    }
  }

  /**
   * Moves the share gradually towards an even one while the coordinator does not answer. The even
   * share divides the limit among all domains, and the domain's part among its instances that are
   * alive.
   */
  private void decayWhenCutOff(
      TeamBucket bucket, Entry.Team team, DemandReport last, long nowNanos) {
    if (nowNanos - last.answeredNanos() > COORDINATOR_TIMEOUT_NANOS) {
      MembershipView view = membership.view();
      int instances = Math.max(1, view.aliveIn(view.localDomain()).size());
      double evenShare = 1.0 / (view.byDomain().size() * instances);
      bucket.setShare(
          team,
          CUT_OFF_DECAY_FACTOR * bucket.share() + (1 - CUT_OFF_DECAY_FACTOR) * evenShare,
          nowNanos);
    }
  }
}
