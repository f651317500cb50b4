package org.snipewick.broker;

import static java.util.Objects.requireNonNull;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.snipewick.fleet.Fleet;
import org.snipewick.fleet.FleetMember;
import org.snipewick.identity.FailureDomain;
import org.snipewick.identity.InstanceId;
import org.snipewick.identity.PoolName;
import org.snipewick.membership.Rendezvous;

/**
 * Order in which the instances of a failure domain are chosen as the broker of a pool. It depends
 * on the registered instances only, so that instances with the same list choose the same one. Not
 * thread-safe.
 */
final class BrokerCandidates {
  /**
   * Instances with nearly as many cores as the strongest one share the pools, so that the pools of
   * a domain do not all have the same broker.
   */
  private static final double STRONG_SHARE = 0.8;

  private final FleetMember self;
  private final Map<PoolName, List<InstanceId>> ordered = new HashMap<>();
  private List<FleetMember> local;
  private int domains = 1;
  private int instances = 1;

  BrokerCandidates(FleetMember self) {
    this.self = requireNonNull(self, "self");
    this.local = List.of(self);
  }

  /** Replaces the registered instances, of which this one may be missing. */
  void setMembers(Collection<FleetMember> members) {
    Map<InstanceId, FleetMember> all = new HashMap<>();
    members.forEach(member -> all.put(member.instance(), member));
    all.put(self.instance(), self);
    Set<FailureDomain> names = new HashSet<>();
    all.values().forEach(member -> names.add(member.domain()));
    instances = all.size();
    domains = names.size();
    local =
        Fleet.isLarge(instances)
            ? all.values().stream().filter(each -> each.domain().equals(self.domain())).toList()
            : List.of(self);
    ordered.clear();
  }

  /** Returns the candidates for a pool, the preferred one first; only this one in small fleets. */
  List<InstanceId> of(PoolName pool) {
    return ordered.computeIfAbsent(pool, this::order);
  }

  private List<InstanceId> order(PoolName pool) {
    double most = local.stream().mapToDouble(BrokerCandidates::cores).max().orElse(0);
    List<FleetMember> strong =
        local.stream().filter(member -> cores(member) >= STRONG_SHARE * most).toList();
    List<FleetMember> others = new ArrayList<>(local);
    others.removeAll(strong);
    others.sort(
        Comparator.comparingDouble(BrokerCandidates::cores)
            .reversed()
            .thenComparing(FleetMember::instance));
    List<InstanceId> candidates = new ArrayList<>();
    Rendezvous.rank(pool.value(), strong, member -> member.instance().value())
        .forEach(member -> candidates.add(member.instance()));
    others.forEach(member -> candidates.add(member.instance()));
    return List.copyOf(candidates);
  }

  private static double cores(FleetMember member) {
    return member.cores().orElse(0);
  }

  /** Returns whether the instances of each failure domain share a broker. */
  boolean areShared() {
    return Fleet.isLarge(instances);
  }

  /** Returns the number of failure domains, and so of brokers of a pool. */
  int domains() {
    return domains;
  }

  /** Returns the number of registered instances. */
  int instances() {
    return instances;
  }
}
