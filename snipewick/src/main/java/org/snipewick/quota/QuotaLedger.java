package org.snipewick.quota;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.snipewick.identity.InstanceId;
import org.snipewick.identity.TeamName;
import org.snipewick.route.TeamPlan;
import org.snipewick.route.TokenQuota;
import org.snipewick.time.TimerService;

/**
 * What teams have spent of their quotas over all instances, as far as it is known here. Each
 * instance tells the others what it has spent in all; an instance that is silent may spend its even
 * share, which is therefore taken as spent. Not safe for use by several threads.
 */
public final class QuotaLedger {
  /** Time without a report after which an instance counts as silent; several reports long. */
  static final Duration SILENCE = Duration.ofSeconds(1);

  private static final double NANOS_PER_SECOND = 1e9;
  private static final Duration MIN_RETRY_AFTER = Duration.ofMillis(200);
  private static final Duration MAX_RETRY_AFTER = Duration.ofSeconds(5);

  private final TimerService timer;
  private final Map<TeamName, Account> accounts = new HashMap<>();
  private final Map<InstanceId, Peer> peers = new HashMap<>();

  private QuotaLedger(TimerService timer) {
    this.timer = requireNonNull(timer, "timer");
  }

  /**
   * Creates a ledger in which nothing was spent.
   *
   * @param timer source of time
   * @return ledger
   */
  public static QuotaLedger of(TimerService timer) {
    return new QuotaLedger(timer);
  }

  /**
   * Spends an amount if the quota allows it.
   *
   * @param team team with its quota
   * @param amount what is spent, in the unit of the quota
   * @return empty if it was spent, else the time after which the quota probably allows it
   */
  public Optional<Duration> trySpend(TeamPlan team, double amount) {
    TokenQuota quota = team.quota();
    Account account = accounts.computeIfAbsent(team.name(), name -> new Account());
    account.settle(quota, timer.nanoTime());
    if (account.level >= Math.min(amount, quota.burst())) {
      account.level -= amount;
      account.spentHere += amount;
      return Optional.empty();
    }
    return Optional.of(account.timeUntil(amount, quota));
  }

  /**
   * Returns what this instance has spent since its start.
   *
   * @return amounts by team
   */
  public Map<TeamName, Double> spentHere() {
    Map<TeamName, Double> spent = new HashMap<>();
    accounts.forEach((team, account) -> spent.put(team, account.spentHere));
    return spent;
  }

  /**
   * Takes what another instance has spent since its start.
   *
   * @param instance other instance
   * @param incarnation its start; a later one begins at 0 again
   * @param spent amounts by team
   */
  public void report(InstanceId instance, long incarnation, Map<TeamName, Double> spent) {
    long now = timer.nanoTime();
    Peer peer = peers.get(instance);
    if (peer == null || peer.incarnation != incarnation) {
      peer = new Peer(incarnation);
      peers.put(instance, peer);
    }
    for (Map.Entry<TeamName, Double> each : spent.entrySet()) {
      Double before = peer.spent.put(each.getKey(), each.getValue());
      double more = each.getValue() - (before == null ? 0 : before);
      Account account = accounts.computeIfAbsent(each.getKey(), name -> new Account());
      account.level -= Math.max(0, more);
    }
    peer.heardNanos = now;
  }

  /**
   * Sets which other instances may spend.
   *
   * @param instances other instances that are listed
   */
  public void listed(Iterable<InstanceId> instances) {
    Map<InstanceId, Peer> kept = new HashMap<>();
    for (InstanceId instance : instances) {
      Peer known = peers.get(instance);
      kept.put(instance, known == null ? new Peer(0) : known);
    }
    peers.clear();
    peers.putAll(kept);
  }

  /** What another instance has told. */
  private static final class Peer {
    private final long incarnation;
    private final Map<TeamName, Double> spent = new HashMap<>();
    private long heardNanos = Long.MIN_VALUE;

    Peer(long incarnation) {
      this.incarnation = incarnation;
    }

    boolean isSilent(long nowNanos) {
      return heardNanos == Long.MIN_VALUE || nowNanos - heardNanos > SILENCE.toNanos();
    }
  }

  /** What is left of one team's quota. */
  private final class Account {
    private double level = Double.NaN;
    private double spentHere;
    private long settledNanos;

    /** Adds what has accrued since the last time, less the shares of silent instances. */
    void settle(TokenQuota quota, long nowNanos) {
      if (Double.isNaN(level)) {
        level = quota.burst() / (peers.size() + 1);
        settledNanos = nowNanos;
      }
      double accrued = (nowNanos - settledNanos) / NANOS_PER_SECOND * quota.perSecond();
      long silent = peers.values().stream().filter(peer -> peer.isSilent(nowNanos)).count();
      level = Math.min(quota.burst(), level + accrued * (1 - silent / (peers.size() + 1.0)));
      settledNanos = nowNanos;
    }

    Duration timeUntil(double amount, TokenQuota quota) {
      double missing = Math.min(amount, quota.burst()) - level;
      Duration wait = Duration.ofNanos((long) (missing / quota.perSecond() * NANOS_PER_SECOND));
      if (wait.compareTo(MIN_RETRY_AFTER) < 0) {
        return MIN_RETRY_AFTER;
      }
      return wait.compareTo(MAX_RETRY_AFTER) > 0 ? MAX_RETRY_AFTER : wait;
    }
  }
}
