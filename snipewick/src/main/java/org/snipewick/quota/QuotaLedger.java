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
 * Spending of teams over all instances, as far as this instance has received it. Each instance
 * reports its spending to its peers; a silent peer may go on spending an even share of each limit,
 * which is therefore reserved for it. Not thread-safe.
 */
public final class QuotaLedger {
  /**
   * Peers whose latest report is older count as silent. Several times the period of the reports,
   * which are sent every 100 ms or less often.
   */
  static final Duration REPORT_VALIDITY = Duration.ofSeconds(1);

  /** Time until the spending of a peer is received: two report periods and propagation delay. */
  private static final Duration REPORT_LAG = Duration.ofMillis(250);

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
   * Creates a ledger without any spending.
   *
   * @param timer source of time
   * @param bounds accuracy with which quotas must be enforced
   * @param mayHaveSpentBefore whether an earlier process of this instance may have spent shortly
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
   * @param amount amount to spend, in the unit of the quota
   * @return empty if the amount was spent; otherwise the time after which a retry is likely to
   *     succeed
   */
  public Optional<Duration> trySpend(TeamPlan team, double amount) {
    long now = timer.nanoTime();
    double limit = bounds.limit(team.quota());
    Account account = accounts.computeIfAbsent(team.name(), name -> new Account());
    double reserved = limit / (peers.size() + 1) * sharesSpentBeforeStart(now);
    double available = limit * unreservedShare(now) - reserved - account.estimatedTotal(now);
    if (amount <= available) {
      account.allInstances.add(amount, now);
      account.thisInstance.add(amount, now);
      account.spentSinceStart += amount;
      return Optional.empty();
    }
    return Optional.of(
        account
            .allInstances
            .nanosUntilExpired(amount - available, now)
            .map(QuotaLedger::retryAfter)
            .orElse(MAX_RETRY_AFTER));
  }

  /**
   * Returns the spending of this process.
   *
   * @return spending by team, in the units of their quotas
   */
  public Map<TeamName, Spent> spentByThisProcess() {
    long now = timer.nanoTime();
    Map<TeamName, Spent> spent = new HashMap<>();
    accounts.forEach(
        (team, account) ->
            spent.put(team, new Spent(account.spentSinceStart, account.thisInstance.total(now))));
    return spent;
  }

  /**
   * Returns the uptime of this process.
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
   * @param total amount since the start of the process, in the unit of the quota
   * @param recent amount within the latest window, in the unit of the quota
   */
  public record Spent(double total, double recent) {}

  /**
   * Adds the spending that a peer reports. A lower total than before means that the peer has
   * restarted, in which case its spending within the latest window is added.
   *
   * @param instance peer
   * @param uptime time since the start of its process; empty at the first start of the whole system
   * @param spent spending by team
   */
  public void addPeerSpending(
      InstanceId instance, Optional<Duration> uptime, Map<TeamName, Spent> spent) {
    long now = timer.nanoTime();
    Peer peer = peers.computeIfAbsent(instance, name -> new Peer());
    peer.mayHaveSpentBefore = uptime.isPresent();
    peer.startedNanos = now - uptime.map(Duration::toNanos).orElse(0L);
    for (Map.Entry<TeamName, Spent> each : spent.entrySet()) {
      Double previousTotal = peer.totals.put(each.getKey(), each.getValue().total());
      double increase =
          previousTotal == null || previousTotal > each.getValue().total()
              ? each.getValue().recent()
              : each.getValue().total() - previousTotal;
      Account account = accounts.computeIfAbsent(each.getKey(), name -> new Account());
      account.allInstances.add(increase, now);
      account.recentByPeers.add(increase, now);
    }
    peer.receivedNanos = now;
  }

  /**
   * Sets the peers that may spend. Removes the state of all others, but not what they have spent.
   *
   * @param instances all registered peers
   */
  public void setPeers(Set<InstanceId> instances) {
    peers.keySet().retainAll(instances);
    instances.forEach(instance -> peers.computeIfAbsent(instance, name -> new Peer()));
  }

  /**
   * Returns the number of even shares that earlier processes may have spent in the current window
   * before the present ones started. Each share falls linearly to 0 within the length of the window
   * after a start.
   */
  private double sharesSpentBeforeStart(long nowNanos) {
    double shares = mayHaveSpentBefore ? remainingShareOfWindow(nowNanos - startedNanos) : 0;
    for (Peer peer : peers.values()) {
      if (!peer.isSilent(nowNanos) && peer.mayHaveSpentBefore) {
        shares += remainingShareOfWindow(nowNanos - peer.startedNanos);
      }
    }
    return shares;
  }

  private double remainingShareOfWindow(long uptimeNanos) {
    return Math.max(0, 1 - (double) uptimeNanos / bounds.window().toNanos());
  }

  /** Returns the share of a limit that is not reserved for silent peers. */
  private double unreservedShare(long nowNanos) {
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

  /** Latest report of a peer; its time is {@link Long#MIN_VALUE} before the first one. */
  private static final class Peer {
    private final Map<TeamName, Double> totals = new HashMap<>();
    private long receivedNanos = Long.MIN_VALUE;
    private long startedNanos;
    private boolean mayHaveSpentBefore;

    boolean isSilent(long nowNanos) {
      return receivedNanos == Long.MIN_VALUE
          || nowNanos - receivedNanos > REPORT_VALIDITY.toNanos();
    }
  }

  /** Spending of one team. */
  private final class Account {
    private final SpendingWindow allInstances = new SpendingWindow(bounds.window().toNanos());
    private final SpendingWindow thisInstance = new SpendingWindow(bounds.window().toNanos());
    private final SpendingWindow recentByPeers = new SpendingWindow(REPORT_VALIDITY.toNanos());
    private double spentSinceStart;

    /**
     * Returns the spending in the window, including an estimate of what peers have spent but not
     * yet reported.
     */
    double estimatedTotal(long nowNanos) {
      double unreported =
          recentByPeers.total(nowNanos) * REPORT_LAG.toNanos() / REPORT_VALIDITY.toNanos();
      return allInstances.total(nowNanos) + unreported;
    }
  }
}
