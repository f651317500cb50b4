package org.snipewick.fleet;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.snipewick.identity.InstanceId;

/**
 * Sums of the reports that a collector receives from the instances of its group, and of the sums
 * that it receives from the collectors of other groups. Reports that are no longer valid count no
 * load; the spending in them counts until it has left the window of quotas. Not thread-safe.
 */
final class ReportAggregator {
  private final long windowNanos;
  private final Map<InstanceId, Member> members = new HashMap<>();
  private final Map<InstanceId, OtherGroup> otherGroups = new HashMap<>();
  private long validityNanos = Duration.ofSeconds(1).toNanos();

  private ReportAggregator(Duration window) {
    this.windowNanos = window.toNanos();
  }

  /**
   * Creates an aggregator without reports.
   *
   * @param window length of the window of quotas
   */
  static ReportAggregator of(Duration window) {
    return new ReportAggregator(requireNonNull(window, "window"));
  }

  /** Sets the time for which a report or a sum counts as current. */
  void setValidity(Duration validity) {
    validityNanos = validity.toNanos();
  }

  /** Stores the report of an instance of this group. */
  void addReport(InstanceId from, FleetMessages.Report report, long nowNanos) {
    members.computeIfAbsent(from, name -> new Member()).update(report, nowNanos);
  }

  /** Stores the sum of the collector of another group. */
  void addGroupSum(InstanceId from, FleetMessages.GroupSum sum, long nowNanos) {
    otherGroups.computeIfAbsent(from, name -> new OtherGroup()).update(sum, nowNanos);
  }

  /** Removes everything that no longer counts. */
  void removeExpired(long nowNanos) {
    members.values().removeIf(member -> member.isExpired(nowNanos));
    otherGroups.values().removeIf(group -> nowNanos - group.receivedNanos > windowNanos);
  }

  /** Returns the instances whose reports are valid. */
  Set<InstanceId> reporting(long nowNanos) {
    Set<InstanceId> reporting = new HashSet<>();
    members.forEach(
        (instance, member) -> {
          if (member.isValid(nowNanos)) {
            reporting.add(instance);
          }
        });
    return reporting;
  }

  /** Returns the collectors of a group whose sums are valid. */
  Set<InstanceId> collectors(String group, long nowNanos) {
    Set<InstanceId> collectors = new HashSet<>();
    otherGroups.forEach(
        (instance, other) -> {
          if (other.isValid(nowNanos) && other.sum.group().equals(group)) {
            collectors.add(instance);
          }
        });
    return collectors;
  }

  /** Returns the sum over the instances that report to this collector. */
  Totals groupTotals(long nowNanos) {
    Totals totals = Totals.empty();
    for (Member member : members.values()) {
      totals = totals.plus(member.totals(nowNanos)).plus(member.pastSpending(nowNanos));
    }
    return totals;
  }

  /** Returns the sum over the other groups. */
  Totals otherGroupTotals(long nowNanos) {
    Totals totals = Totals.empty();
    for (OtherGroup group : otherGroups.values()) {
      totals = totals.plus(group.totals(nowNanos));
    }
    return totals;
  }

  /** Returns what the report of an instance contributes to the sum over its group. */
  Totals contribution(InstanceId instance, long nowNanos) {
    Member member = members.get(instance);
    return member == null ? Totals.empty() : member.totals(nowNanos);
  }

  /** Returns whether the spending of earlier processes of an instance is included. */
  boolean isHistoryKnown(InstanceId instance) {
    Member member = members.get(instance);
    return member != null && member.isHistoryKnown;
  }

  /** Latest report of an instance, and the spending of its earlier processes. */
  private final class Member {
    private FleetMessages.Report report;
    private long receivedNanos;
    private boolean isHistoryKnown;
    private Totals past = Totals.empty();
    private long pastUntilNanos;

    void update(FleetMessages.Report received, long nowNanos) {
      if (report == null) {
        isHistoryKnown = received.uptimeMillis() == FleetMessages.FIRST_START_UPTIME_MILLIS;
      } else if (hasRestarted(report.uptimeMillis(), received.uptimeMillis())) {
        past = pastSpending(nowNanos).plus(Totals.ofPastSpending(report.spent()));
        pastUntilNanos = receivedNanos + windowNanos;
        isHistoryKnown = true;
      }
      isHistoryKnown |= Duration.ofMillis(received.uptimeMillis()).toNanos() >= windowNanos;
      report = received;
      receivedNanos = nowNanos;
    }

    boolean isValid(long nowNanos) {
      return nowNanos - receivedNanos <= validityNanos;
    }

    boolean isExpired(long nowNanos) {
      return nowNanos - receivedNanos > windowNanos;
    }

    Totals totals(long nowNanos) {
      return isValid(nowNanos)
          ? new Totals(1, isHistoryKnown ? 0 : 1, report.spent(), report.inFlight())
          : Totals.ofPastSpending(report.spent());
    }

    Totals pastSpending(long nowNanos) {
      return nowNanos - pastUntilNanos < 0 ? past : Totals.empty();
    }
  }

  private static boolean hasRestarted(long previousUptimeMillis, long uptimeMillis) {
    boolean wasFirstStart = previousUptimeMillis == FleetMessages.FIRST_START_UPTIME_MILLIS;
    boolean isFirstStart = uptimeMillis == FleetMessages.FIRST_START_UPTIME_MILLIS;
    return wasFirstStart ? !isFirstStart : uptimeMillis < previousUptimeMillis;
  }

  /** Latest sum of the collector of another group. */
  private final class OtherGroup {
    private FleetMessages.GroupSum sum;
    private long receivedNanos;
    private Totals past = Totals.empty();
    private long pastUntilNanos;

    void update(FleetMessages.GroupSum received, long nowNanos) {
      // Instances that report to a collector report again after its restart; only its own spending
      // is lost with it.
      if (sum != null
          && sum.totals().instances() == 1
          && hasRestarted(sum.uptimeMillis(), received.uptimeMillis())) {
        past = pastSpending(nowNanos).plus(Totals.ofPastSpending(sum.totals().spent()));
        pastUntilNanos = receivedNanos + windowNanos;
      }
      sum = received;
      receivedNanos = nowNanos;
    }

    boolean isValid(long nowNanos) {
      return nowNanos - receivedNanos <= validityNanos;
    }

    Totals totals(long nowNanos) {
      Totals past = pastSpending(nowNanos);
      if (isValid(nowNanos)) {
        Totals current = past.equals(Totals.empty()) ? sum.totals() : withHistory(sum.totals());
        return current.plus(past);
      }
      boolean isReplaced = !collectors(sum.group(), nowNanos).isEmpty();
      return isReplaced ? past : past.plus(Totals.ofPastSpending(sum.totals().spent()));
    }

    private Totals withHistory(Totals totals) {
      return new Totals(totals.instances(), 0, totals.spent(), totals.inFlight());
    }

    private Totals pastSpending(long nowNanos) {
      return nowNanos - pastUntilNanos < 0 ? past : Totals.empty();
    }
  }
}
