package org.snipewick.limits;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import org.snipewick.identity.InstanceId;
import org.snipewick.identity.TeamName;

/**
 * Divides teams' limits among instances, at the teams' home. The shares in force never add up to
 * more than one; a share counts as in force until its lease ends. Not safe for use by several
 * threads.
 */
final class ShareAllocator {
  static final long LEASE_NANOS = 5_000_000_000L;
  static final long CONSERVATIVE_NANOS = 2_000_000_000L;
  private static final int MAX_TEAMS = 10_000;
  private static final double LEAST_DEMAND = 1e-4;

  private final Map<TeamName, Home> homes =
      new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<TeamName, Home> eldest) {
          return size() > MAX_TEAMS;
        }
      };

  private record Holder(double share, double demand, long expiryNanos) {}

  private static final class Home {
    private final long sinceNanos;
    private final Map<InstanceId, Holder> holders = new HashMap<>();

    Home(long sinceNanos) {
      this.sinceNanos = sinceNanos;
    }
  }

  /**
   * Answers a report. A home that is new hands out no more than was held before, since others may
   * hold shares from an earlier home.
   *
   * @param team team
   * @param instance who reports
   * @param wanted what it would use, as a share of the limit
   * @param held share that it holds by an earlier answer
   * @param part part of the limit that may be handed out, 1 unless failure domains are cut off
   * @param nowNanos current monotonic time, in nanoseconds
   * @return share from now on, 0 to 1
   */
  double report(
      TeamName team, InstanceId instance, double wanted, double held, double part, long nowNanos) {
    Home home = homes.computeIfAbsent(team, ignored -> new Home(nowNanos));
    home.holders.values().removeIf(holder -> holder.expiryNanos() - nowNanos < 0);
    home.holders.remove(instance);
    double others = 0;
    double demand = wanted;
    for (Holder holder : home.holders.values()) {
      others += holder.share();
      demand += holder.demand();
    }
    double free = Math.max(0, part - others);
    double share = wanted < LEAST_DEMAND ? 0 : Math.min(free, part * wanted / demand);
    if (nowNanos - home.sinceNanos < CONSERVATIVE_NANOS) {
      share = Math.min(share, held);
    }
    home.holders.put(instance, new Holder(share, wanted, nowNanos + LEASE_NANOS));
    return share;
  }

  /** Forgets all teams, when this instance stops being trusted as a home. */
  void clear() {
    homes.clear();
  }

  double sum(TeamName team) {
    Home home = homes.get(team);
    return home == null ? 0 : home.holders.values().stream().mapToDouble(Holder::share).sum();
  }
}
