package org.snipewick.fleet;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.snipewick.identity.InstanceId;

/**
 * Sums of the reports that a collector receives from the instances of its group, and of the sums
 * that it receives from the collectors of other groups. Reports that are no longer valid do not
 * count. Not thread-safe.
 */
final class ReportAggregator {
  private final Map<InstanceId, Received<FleetMessages.Report>> members = new HashMap<>();
  private final Map<InstanceId, Received<FleetMessages.GroupSum>> otherGroups = new HashMap<>();
  private long validityNanos = Duration.ofSeconds(1).toNanos();

  private ReportAggregator() {}

  /** Creates an aggregator without reports. */
  static ReportAggregator empty() {
    return new ReportAggregator();
  }

  /** Latest message of a sender. */
  private record Received<T>(T message, long atNanos) {

    long ageMillis(long nowNanos) {
      return Duration.ofNanos(nowNanos - atNanos).toMillis();
    }
  }

  /** Sets the time for which a report or a sum counts as current. */
  void setValidity(Duration validity) {
    validityNanos = validity.toNanos();
  }

  /** Stores the report of an instance of this group. */
  void addReport(InstanceId from, FleetMessages.Report report, long nowNanos) {
    members.put(from, new Received<>(report, nowNanos));
  }

  /** Stores the sum of the collector of another group. */
  void addGroupSum(InstanceId from, FleetMessages.GroupSum sum, long nowNanos) {
    otherGroups.put(from, new Received<>(sum, nowNanos));
  }

  /** Removes everything that no longer counts. */
  void removeExpired(long nowNanos) {
    members.values().removeIf(member -> !isValid(member, nowNanos));
    otherGroups.values().removeIf(group -> !isValid(group, nowNanos));
  }

  private boolean isValid(Received<?> received, long nowNanos) {
    return nowNanos - received.atNanos() <= validityNanos;
  }

  /** Returns the instances whose reports are valid. */
  Set<InstanceId> reporting(long nowNanos) {
    return members.entrySet().stream()
        .filter(member -> isValid(member.getValue(), nowNanos))
        .map(Map.Entry::getKey)
        .collect(Collectors.toSet());
  }

  /** Returns the collectors of a group whose sums are valid. */
  Set<InstanceId> collectors(String group, long nowNanos) {
    return otherGroups.entrySet().stream()
        .filter(other -> isValid(other.getValue(), nowNanos))
        .filter(other -> other.getValue().message().group().equals(group))
        .map(Map.Entry::getKey)
        .collect(Collectors.toSet());
  }

  /** Returns the sum over the instances that report to this collector. */
  Totals groupTotals(long nowNanos) {
    Totals totals = Totals.empty();
    for (InstanceId member : members.keySet()) {
      totals = totals.plus(contribution(member, nowNanos));
    }
    return totals;
  }

  /** Returns the sum over the other groups. */
  Totals otherGroupTotals(long nowNanos) {
    Totals totals = Totals.empty();
    for (Received<FleetMessages.GroupSum> group : otherGroups.values()) {
      if (isValid(group, nowNanos)) {
        totals = totals.plus(group.message().totals().aged(group.ageMillis(nowNanos)));
      }
    }
    return totals;
  }

  /** Returns what the report of an instance contributes to the sum over its group. */
  Totals contribution(InstanceId instance, long nowNanos) {
    Received<FleetMessages.Report> member = members.get(instance);
    if (member == null || !isValid(member, nowNanos)) {
      return Totals.empty();
    }
    Map<Integer, String> slots = new HashMap<>();
    Set<Integer> held = new HashSet<>(member.message().slots());
    held.forEach(slot -> slots.put(slot, instance.value()));
    FleetMessages.Report report = member.message();
    return new Totals(1, slots, report.inFlight(), report.limits())
        .aged(member.ageMillis(nowNanos));
  }
}
