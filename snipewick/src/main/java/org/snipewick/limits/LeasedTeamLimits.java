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
 * Team limits held over all instances by shares that each team's home instance hands out. A request
 * needs no message; instances report the demand of active teams about once a second.
 */
public final class LeasedTeamLimits implements TeamLimits {
  private static final Duration PERIOD = Duration.ofMillis(500);
  private static final long REPORT_NANOS = 2_000_000_000L;
  private static final long IDLE_NANOS = 4_000_000_000L;
  private static final long SILENCE_NANOS = 4_000_000_000L;
  private static final double CHANGED_SHARE = 0.1;
  private static final double BASE_SHARE = 0.1;
  private static final double DECAY = 0.95;
  private static final long LEAST_RETRY_MILLIS = 100;
  private static final long MOST_RETRY_MILLIS = 10_000;

  private final Membership membership;
  private final PeerNetwork network;
  private final TimerService timer;
  private final CatalogueSource catalogue;
  private final Map<TeamName, TeamBucket> buckets = new ConcurrentHashMap<>();
  private final Map<TeamName, Reported> reported = new HashMap<>();
  private final ShareAllocator allocator = new ShareAllocator();
  private long lastNanos;

  /** What was last told to a home and what it answered; the smoothed demand goes on changing. */
  private record Reported(
      InstanceId home,
      double smoothed,
      double demand,
      double granted,
      long sentNanos,
      long answeredNanos) {
    static Reported none(InstanceId home, long nowNanos) {
      return new Reported(home, 0, 0, 0, nowNanos - REPORT_NANOS, nowNanos);
    }

    Reported withSmoothed(double changed) {
      return new Reported(home, changed, demand, granted, sentNanos, answeredNanos);
    }

    Reported withGranted(double share, long nowNanos) {
      return new Reported(home, smoothed, demand, share, sentNanos, nowNanos);
    }

    Reported sentTo(InstanceId current, double told, long nowNanos) {
      return new Reported(current, smoothed, told, granted, nowNanos, answeredNanos);
    }

    /** A rise is told at once, a fall with the next renewal of the share. */
    boolean isDue(InstanceId current, double told, long nowNanos) {
      return nowNanos - sentNanos >= REPORT_NANOS
          || !current.equals(home)
          || told > (1 + CHANGED_SHARE) * demand;
    }
  }

  private LeasedTeamLimits(
      Membership membership, PeerNetwork network, TimerService timer, CatalogueSource catalogue) {
    this.membership = requireNonNull(membership, "membership");
    this.network = requireNonNull(network, "network");
    this.timer = requireNonNull(timer, "timer");
    this.catalogue = requireNonNull(catalogue, "catalogue");
    this.lastNanos = timer.nanoTime();
  }

  /**
   * Creates limits and starts their reports.
   *
   * @param membership members
   * @param network peer network, whose handlers of limit messages are set
   * @param timer timer
   * @param catalogue catalogue with the teams' limits
   * @return running limits
   */
  public static LeasedTeamLimits start(
      Membership membership, PeerNetwork network, TimerService timer, CatalogueSource catalogue) {
    LeasedTeamLimits limits = new LeasedTeamLimits(membership, network, timer, catalogue);
    network.handle(
        LimitMessages.Demands.class,
        (from, demands) -> limits.handle(() -> limits.answer(from, demands)));
    network.handle(
        LimitMessages.Shares.class,
        (from, shares) -> limits.handle(() -> limits.take(from, shares)));
    membership.subscribe((before, after) -> limits.later(limits::report));
    timer.every(PERIOD, limits::report);
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
    long wait = Math.min(MOST_RETRY_MILLIS, Math.max(LEAST_RETRY_MILLIS, waitMillis));
    return Failure.notRun(FailureType.LIMIT_EXCEEDED, "limit of team " + team)
        .withRetryAfter(Duration.ofMillis(wait));
  }

  /** A bucket with requests in flight stays, also when its team is not in the catalogue. */
  @Override
  public void release(TeamName team, long reserved, long used) {
    TeamBucket bucket = buckets.get(team);
    if (bucket != null) {
      bucket.leave();
      entry(team).ifPresent(entry -> bucket.giveBack(entry, reserved, used, timer.nanoTime()));
    }
  }

  private Optional<Entry.Team> entry(TeamName team) {
    return catalogue.current().find(Entry.Team.class, team.value());
  }

  /** Returns the part of every limit that each instance has without asking. */
  private double baseShare() {
    return BASE_SHARE / Math.max(1, membership.view().members().size());
  }

  private CompletableFuture<PeerMessage> handle(Runnable task) {
    later(task);
    return CompletableFuture.completedFuture(null);
  }

  private void later(Runnable task) {
    var unused = timer.after(Duration.ZERO, task);
  }

  /** As home: answers the demands of an instance with its shares. */
  private void answer(InstanceId from, LimitMessages.Demands message) {
    if (!membership.hasStanding()) {
      allocator.clear();
      return;
    }
    double part = reachablePart();
    List<LimitMessages.Share> shares = new ArrayList<>();
    for (LimitMessages.Demand demand : message.demands()) {
      double share =
          allocator.report(
              demand.team(), from, demand.wanted(), demand.held(), part, timer.nanoTime());
      shares.add(new LimitMessages.Share(demand.team(), (float) share));
    }
    network.send(from, new LimitMessages.Shares(shares));
  }

  /** Returns the share of the failure domains that this instance can reach. */
  private double reachablePart() {
    MembershipView view = membership.view();
    long reachable =
        view.byDomain().keySet().stream()
            .filter(domain -> !view.reachableIn(domain).isEmpty())
            .count();
    return (double) reachable / view.byDomain().size();
  }

  private void take(InstanceId from, LimitMessages.Shares message) {
    for (LimitMessages.Share share : message.shares()) {
      Reported report = reported.get(share.team());
      TeamBucket bucket = buckets.get(share.team());
      if (report != null && bucket != null && report.home().equals(from)) {
        long now = timer.nanoTime();
        double granted = baseShare() + (1 - BASE_SHARE) * share.share();
        entry(share.team()).ifPresent(entry -> bucket.share(entry, granted, now));
        reported.put(share.team(), report.withGranted(share.share(), now));
      }
    }
  }

  private void report() {
    long now = timer.nanoTime();
    double seconds = (now - lastNanos) / 1e9;
    if (seconds <= 0) {
      return;
    }
    lastNanos = now;
    MembershipView view = membership.view();
    List<Member> alive =
        view.members().values().stream()
            .filter(member -> member.state() == Member.State.ALIVE)
            .toList();
    Map<InstanceId, List<LimitMessages.Demand>> byHome = new HashMap<>();
    for (Map.Entry<TeamName, TeamBucket> each : buckets.entrySet()) {
      Rendezvous.first("team/" + each.getKey(), alive, member -> member.id().value())
          .ifPresent(home -> report(each.getKey(), each.getValue(), home.id(), seconds, byHome));
    }
    byHome.forEach((home, demands) -> network.send(home, new LimitMessages.Demands(demands)));
  }

  private void report(
      TeamName team,
      TeamBucket bucket,
      InstanceId home,
      double seconds,
      Map<InstanceId, List<LimitMessages.Demand>> byHome) {
    long now = timer.nanoTime();
    Optional<Entry.Team> entry = entry(team);
    boolean idle = bucket.inFlight() == 0 && now - bucket.usedNanos() > IDLE_NANOS;
    if (entry.isEmpty() || (idle && !reported.containsKey(team))) {
      if (bucket.close()) {
        buckets.remove(team, bucket);
        reported.remove(team);
      }
      return;
    }
    boolean satisfied = idle || bucket.isSatisfied(entry.get(), now);
    double asked = bucket.takeDemand(entry.get(), seconds);
    if (satisfied && !reported.containsKey(team)) {
      return;
    }
    Reported last = reported.getOrDefault(team, Reported.none(home, now));
    double smoothed = 0.5 * last.smoothed() + 0.5 * asked;
    double demand = satisfied ? 0 : smoothed;
    decayWhenCutOff(bucket, entry.get(), last, now);
    Reported current = last.withSmoothed(smoothed);
    if (satisfied || last.isDue(home, demand, now)) {
      byHome
          .computeIfAbsent(home, ignored -> new ArrayList<>())
          .add(new LimitMessages.Demand(team, (float) demand, (float) last.granted()));
      current = current.sentTo(home, demand, now);
    }
    reported.put(team, current);
    if (satisfied) {
      bucket.share(entry.get(), baseShare(), now);
      reported.remove(team);
    }
  }

  /** Lets the share move to an even part of the domain's part while the home does not answer. */
  private void decayWhenCutOff(TeamBucket bucket, Entry.Team team, Reported last, long nowNanos) {
    if (nowNanos - last.answeredNanos() > SILENCE_NANOS) {
      MembershipView view = membership.view();
      int instances = Math.max(1, view.aliveIn(view.ownDomain()).size());
      double even = 1.0 / (view.byDomain().size() * instances);
      bucket.share(team, DECAY * bucket.share() + (1 - DECAY) * even, nowNanos);
    }
  }
}
