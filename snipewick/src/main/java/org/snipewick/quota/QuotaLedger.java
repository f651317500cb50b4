package org.snipewick.quota;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.snipewick.identity.InstanceId;
import org.snipewick.identity.TeamName;
import org.snipewick.route.TeamPlan;
import org.snipewick.time.TimerService;

/**
 * What teams have spent of their quotas over all instances, as far as it is known here. Each
 * instance tells the others what it has spent; an instance that is silent may go on spending its
 * even share, which is therefore kept for it. Not safe for use by several threads.
 */
public final class QuotaLedger {
  /** Time without a report after which an instance counts as silent; several reports long. */
  static final Duration SILENCE = Duration.ofSeconds(1);

  /** Time within which what others spend becomes known here: two reports and the way. */
  private static final Duration LAG = Duration.ofMillis(250);

  private static final Duration MIN_RETRY_AFTER = Duration.ofMillis(200);
  private static final Duration MAX_RETRY_AFTER = Duration.ofSeconds(5);

  private final TimerService timer;
  private final QuotaBounds bounds;
  private final boolean mayHaveSpentBefore;
  private final long startedNanos;
  private final Map<TeamName, Account> accounts = new HashMap<>();
  private final Map<InstanceId, Peer> peers = new HashMap<>();

  private QuotaLedger(TimerService timer, QuotaBounds bounds, boolean mayHaveSpentBefore) {
    this.timer = requireNonNull(timer, "timer");
    this.bounds = requireNonNull(bounds, "bounds");
    this.mayHaveSpentBefore = mayHaveSpentBefore;
    this.startedNanos = timer.nanoTime();
  }

  /**
   * Creates a ledger in which nothing was spent yet.
   *
   * @param timer source of time
   * @param bounds how exactly quotas have to hold
   * @param mayHaveSpentBefore whether an earlier process of this instance may have spent just
   *     before this one started
   * @return ledger
   */
  public static QuotaLedger of(TimerService timer, QuotaBounds bounds, boolean mayHaveSpentBefore) {
    return new QuotaLedger(timer, bounds, mayHaveSpentBefore);
  }

  /**
   * Spends an amount if the quota allows it.
   *
   * @param team team with its quota
   * @param amount what is spent, in the unit of the quota
   * @return empty if it was spent, else the time after which the quota probably allows it
   */
  public Optional<Duration> trySpend(TeamPlan team, double amount) {
    long now = timer.nanoTime();
    double limit = bounds.limit(team.quota());
    Account account = accounts.computeIfAbsent(team.name(), name -> new Account());
    double reserved = limit / (peers.size() + 1) * startShares(now);
    double free = limit * activeShare(now) - reserved - account.expected(now);
    if (amount <= free) {
      account.all.add(amount, now);
      account.here.add(amount, now);
      account.spentHere += amount;
      return Optional.empty();
    }
    return Optional.of(
        account
            .all
            .nanosUntilFree(amount - free, now)
            .map(QuotaLedger::retryAfter)
            .orElse(MAX_RETRY_AFTER));
  }

  /**
   * Tells what this instance has spent.
   *
   * @return spending by team
   */
  public Map<TeamName, Spent> spentHere() {
    long now = timer.nanoTime();
    Map<TeamName, Spent> spent = new HashMap<>();
    accounts.forEach(
        (team, account) -> spent.put(team, new Spent(account.spentHere, account.here.total(now))));
    return spent;
  }

  /**
   * Returns how long this process runs.
   *
   * @return time since its start; empty at the first start of the whole system
   */
  public Optional<Duration> uptime() {
    return mayHaveSpentBefore
        ? Optional.of(Duration.ofNanos(timer.nanoTime() - startedNanos))
        : Optional.empty();
  }

  /**
   * Spending of a team at one instance.
   *
   * @param total since the start of the process
   * @param recent within the latest window
   */
  public record Spent(double total, double recent) {}

  /**
   * Takes what another instance has spent. A lower total than before means that it started again.
   *
   * @param instance other instance
   * @param uptime time since the start of its process; empty at the first start of the whole system
   * @param spent spending by team
   */
  public void report(InstanceId instance, Optional<Duration> uptime, Map<TeamName, Spent> spent) {
    long now = timer.nanoTime();
    Peer peer = peers.computeIfAbsent(instance, name -> new Peer());
    peer.mayHaveSpentBefore = uptime.isPresent();
    peer.startedNanos = now - uptime.map(Duration::toNanos).orElse(0L);
    for (Map.Entry<TeamName, Spent> each : spent.entrySet()) {
      Double before = peer.totals.put(each.getKey(), each.getValue().total());
      double more =
          before == null || before > each.getValue().total()
              ? each.getValue().recent()
              : each.getValue().total() - before;
      Account account = accounts.computeIfAbsent(each.getKey(), name -> new Account());
      account.all.add(more, now);
      account.lately.add(more, now);
    }
    peer.heardNanos = now;
  }

  /**
   * Sets which other instances may spend.
   *
   * @param instances other instances that are listed
   */
  public void listed(Set<InstanceId> instances) {
    peers.keySet().retainAll(instances);
    instances.forEach(instance -> peers.computeIfAbsent(instance, name -> new Peer()));
  }

  /**
   * Counts the even shares that processes may have spent in this window before they started. They
   * leave the window evenly in the time of its length.
   */
  private double startShares(long nowNanos) {
    double shares = mayHaveSpentBefore ? restOfWindow(nowNanos - startedNanos) : 0;
    for (Peer peer : peers.values()) {
      if (!peer.isSilent(nowNanos) && peer.mayHaveSpentBefore) {
        shares += restOfWindow(nowNanos - peer.startedNanos);
      }
    }
    return shares;
  }

  private double restOfWindow(long uptimeNanos) {
    return Math.max(0, 1 - (double) uptimeNanos / bounds.window().toNanos());
  }

  /** Returns the share of a limit that is not kept for silent instances. */
  private double activeShare(long nowNanos) {
    long silent = peers.values().stream().filter(peer -> peer.isSilent(nowNanos)).count();
    return 1 - silent / (peers.size() + 1.0);
  }

  private static Duration retryAfter(long nanos) {
    Duration wait = Duration.ofNanos(nanos);
    if (wait.compareTo(MIN_RETRY_AFTER) < 0) {
      return MIN_RETRY_AFTER;
    }
    return wait.compareTo(MAX_RETRY_AFTER) > 0 ? MAX_RETRY_AFTER : wait;
  }

  /** What another instance has told. */
  private static final class Peer {
    private final Map<TeamName, Double> totals = new HashMap<>();
    private long heardNanos = Long.MIN_VALUE;
    private long startedNanos;
    private boolean mayHaveSpentBefore;

    boolean isSilent(long nowNanos) {
      return heardNanos == Long.MIN_VALUE || nowNanos - heardNanos > SILENCE.toNanos();
    }
  }

  /** Spending of one team. */
  private final class Account {
    private final SpendingWindow all = new SpendingWindow(bounds.window().toNanos());
    private final SpendingWindow here = new SpendingWindow(bounds.window().toNanos());
    private final SpendingWindow lately = new SpendingWindow(SILENCE.toNanos());
    private double spentHere;

    /** Returns what is spent in the window, with what others have probably spent meanwhile. */
    double expected(long nowNanos) {
      double unheard = lately.total(nowNanos) * LAG.toNanos() / SILENCE.toNanos();
      return all.total(nowNanos) + unheard;
    }
  }
}
