package org.snipewick.rollout;

import static java.util.Objects.requireNonNull;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.snipewick.identity.FailureDomain;
import org.snipewick.identity.InstanceId;
import org.snipewick.identity.PoolName;

/** Instances that serve the pools, and the rank of this one among them. */
final class Members {
  private final InstanceId self;
  private final FailureDomain domain;
  private final Map<InstanceId, FailureDomain> instances;
  private final boolean isKnown;

  private Members(
      InstanceId self,
      FailureDomain domain,
      Map<InstanceId, FailureDomain> instances,
      boolean isKnown) {
    this.self = requireNonNull(self, "self");
    this.domain = requireNonNull(domain, "domain");
    Map<InstanceId, FailureDomain> all = new HashMap<>(instances);
    all.put(self, domain);
    this.instances = Map.copyOf(all);
    this.isKnown = isKnown;
  }

  /** Returns the members before any other than this instance is known. */
  static Members unknown(InstanceId self, FailureDomain domain) {
    return new Members(self, domain, Map.of(), false);
  }

  static Members of(
      InstanceId self, FailureDomain domain, Map<InstanceId, FailureDomain> instances) {
    return new Members(self, domain, instances, true);
  }

  int size() {
    return instances.size();
  }

  Set<String> names() {
    return instances.keySet().stream().map(InstanceId::value).collect(Collectors.toSet());
  }

  /** Returns how many instances of the own failure domain precede this one. */
  int rankInDomain(PoolName pool) {
    return rank(pool, other -> other.equals(domain));
  }

  /**
   * Returns a fraction of a request by which this instance may exceed its share. The fractions are
   * spread evenly over the instances, so that the sum over all instances, each rounded down, is the
   * share even if each has received only a few requests. This is statistical: it holds if rank and
   * traffic are unrelated; in the worst case half a request per instance is added.
   */
  double fraction(PoolName pool) {
    return isKnown ? (rank(pool, other -> true) + 0.5) / instances.size() : 0;
  }

  boolean isKnown() {
    return isKnown;
  }

  /** Returns a position in an order that all instances compute alike. */
  private int rank(PoolName pool, Predicate<FailureDomain> domains) {
    long own = weight(pool, self);
    return (int)
        instances.entrySet().stream()
            .filter(other -> domains.test(other.getValue()))
            .map(Map.Entry::getKey)
            .filter(other -> precedes(weight(pool, other), other, own))
            .count();
  }

  private boolean precedes(long weight, InstanceId other, long own) {
    return weight < own || (weight == own && other.compareTo(self) < 0);
  }

  private static long weight(PoolName pool, InstanceId instance) {
    long hash = (pool.value() + "/" + instance.value()).hashCode() * 0x9E3779B97F4A7C15L;
    return hash ^ (hash >>> 32);
  }
}
