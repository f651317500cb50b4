package org.snipewick.fleet;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.snipewick.identity.FailureDomain;
import org.snipewick.identity.InstanceId;

/**
 * Division of the instances into groups, whose reports a collector in each group sums up, so that
 * no instance of a large fleet exchanges messages with all others. In a small fleet each instance
 * is a group of its own, and reports arrive without a detour.
 *
 * @param self this instance
 * @param ownGroup name of the group of this instance
 * @param candidates instances of each group, in the order in which they are chosen as collector
 */
record FleetGroups(InstanceId self, String ownGroup, Map<String, List<InstanceId>> candidates) {
  /** Larger fleets are divided into groups of several instances. */
  static final int MAX_UNGROUPED_INSTANCES = 16;

  /** Failure domains with more instances are divided into several groups. */
  private static final int MAX_GROUP_INSTANCES = 24;

  /** Short compared to the time that a request spends at an endpoint. */
  private static final Duration MIN_REPORT_PERIOD = Duration.ofMillis(100);

  /**
   * Bounds the messages that a collector sends, and those that it handles; they cost about half a
   * percent of a core.
   */
  private static final long MAX_MESSAGES_PER_SECOND = 100;

  private static final long MILLIS_PER_SECOND = 1000;

  /** Lost or late messages in succession after which a report no longer counts as current. */
  private static final int VALID_PERIODS = 5;

  private static final Duration MIN_VALIDITY = Duration.ofSeconds(1);

  FleetGroups {
    requireNonNull(self, "self");
    requireNonNull(ownGroup, "ownGroup");
    candidates = Map.copyOf(candidates);
  }

  /** Divides all registered instances, of which this one may be missing. */
  static FleetGroups of(FleetMember self, Collection<FleetMember> peers) {
    List<FleetMember> all = new ArrayList<>(peers);
    all.removeIf(member -> member.instance().equals(self.instance()));
    all.add(self);
    all.sort(Comparator.comparing(member -> member.instance().value()));
    Map<FailureDomain, Long> sizes =
        all.stream().collect(Collectors.groupingBy(FleetMember::domain, Collectors.counting()));
    boolean isGrouped = all.size() > MAX_UNGROUPED_INSTANCES;
    Map<String, List<InstanceId>> candidates = new TreeMap<>();
    for (FleetMember member : all) {
      String group =
          isGrouped ? groupOf(member, sizes.get(member.domain())) : member.instance().value();
      candidates.computeIfAbsent(group, name -> new ArrayList<>()).add(member.instance());
    }
    String ownGroup = isGrouped ? groupOf(self, sizes.get(self.domain())) : self.instance().value();
    return new FleetGroups(self.instance(), ownGroup, candidates);
  }

  private static String groupOf(FleetMember member, long domainSize) {
    long parts = (domainSize + MAX_GROUP_INSTANCES - 1) / MAX_GROUP_INSTANCES;
    int hash = member.instance().value().hashCode();
    return parts == 1
        ? member.domain().value()
        : member.domain().value() + "/" + Math.floorMod(hash, parts);
  }

  /** Returns the instances that may collect the reports of this one, the preferred one first. */
  List<InstanceId> ownCandidates() {
    return candidates.get(ownGroup);
  }

  /** Returns the names of the other groups. */
  Set<String> otherGroups() {
    return candidates.keySet().stream()
        .filter(group -> !group.equals(ownGroup))
        .collect(Collectors.toSet());
  }

  /** Returns the time between two reports of an instance, which is the same at all instances. */
  Duration reportPeriod() {
    long instances = candidates.values().stream().mapToInt(List::size).sum();
    long messages = instances / candidates.size() + candidates.size() - 2;
    long millis = messages * MILLIS_PER_SECOND / MAX_MESSAGES_PER_SECOND;
    return Duration.ofMillis(Math.max(MIN_REPORT_PERIOD.toMillis(), millis));
  }

  /** Returns the time for which a report counts as current. */
  Duration validity() {
    Duration validity = reportPeriod().multipliedBy(VALID_PERIODS);
    return validity.compareTo(MIN_VALIDITY) < 0 ? MIN_VALIDITY : validity;
  }
}
