package org.snipewick.limits;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import org.snipewick.identity.InstanceId;
import org.snipewick.identity.TeamName;

/**
 * Allocator of the shares of team limits that the coordinator of the teams leases to instances. The
 * sum of the leased shares of a team never exceeds 1; a share counts until its lease expires. Not
 * thread-safe.
 */
final class ShareAllocator {
  static final long LEASE_DURATION_NANOS = 5_000_000_000L;

  /**
   * Time after a coordinator has taken over a team in which no instance is granted more than it
   * held before.
   */
  static final long TAKEOVER_PERIOD_NANOS = 2_000_000_000L;

  /**
   * Maximum number of teams with leases; the leases of the least recently reported team are dropped
   * first.
   */
  private static final int MAX_TEAMS = 10_000;

  /** Demand, as a share of the limit, below which no share is leased. */
  private static final double MIN_DEMAND = 1e-4;

  private final Map<TeamName, TeamLeases> leasesByTeam =
      new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<TeamName, TeamLeases> eldest) {
          return size() > MAX_TEAMS;
        }
      };

  private record Lease(double share, double demand, long expiryNanos) {}

  private static final class TeamLeases {
    private final long createdNanos;
    private final Map<InstanceId, Lease> byHolder = new HashMap<>();

    TeamLeases(long createdNanos) {
      this.createdNanos = createdNanos;
    }
  }

  /**
   * Renews the lease of an instance that reports demand. A coordinator that has just taken over
   * grants no more than the instance held before, because others may hold shares granted by an
   * earlier coordinator.
   *
   * @param team team
   * @param instance instance that reports
   * @param demand its demand, as a share of the limit; can exceed 1
   * @param heldShare share that it was granted before, 0 to 1
   * @param allocatableShare share of the leased part of the limit that may be granted in total, 1
   *     unless failure domains are cut off
   * @param nowNanos current monotonic time, in nanoseconds
   * @return granted share, 0 to 1
   */
  double renewLease(
      TeamName team,
      InstanceId instance,
      double demand,
      double heldShare,
      double allocatableShare,
      long nowNanos) {
    TeamLeases leases = leasesByTeam.computeIfAbsent(team, ignored -> new TeamLeases(nowNanos));
    leases.byHolder.values().removeIf(lease -> lease.expiryNanos() - nowNanos < 0);
    leases.byHolder.remove(instance);
    double leasedToOthers = 0;
    double totalDemand = demand;
    for (Lease lease : leases.byHolder.values()) {
      leasedToOthers += lease.share();
      totalDemand += lease.demand();
    }
    double available = Math.max(0, allocatableShare - leasedToOthers);
    double share =
        demand < MIN_DEMAND ? 0 : Math.min(available, allocatableShare * demand / totalDemand);
    if (nowNanos - leases.createdNanos < TAKEOVER_PERIOD_NANOS) {
      share = Math.min(share, heldShare);
    }
    leases.byHolder.put(instance, new Lease(share, demand, nowNanos + LEASE_DURATION_NANOS));
    return share;
  }

  /** Discards all leases, because this instance is no longer active and must not coordinate. */
  void clear() {
    leasesByTeam.clear();
  }

  /** Returns the sum of the leased shares of a team, 0 to 1. */
  double sum(TeamName team) {
    TeamLeases leases = leasesByTeam.get(team);
    return leases == null ? 0 : leases.byHolder.values().stream().mapToDouble(Lease::share).sum();
  }
}
