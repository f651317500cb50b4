package org.snipewick.route;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.snipewick.identity.PoolName;
import org.snipewick.identity.Tier;

/**
 * Rule for the requests of a host whose path has a prefix.
 *
 * @param name name, unique among the routes of a plan
 * @param host value of the Host header without a port
 * @param prefix start of the path, which begins and ends with a slash
 * @param kind what may be repeated
 * @param timeout longest time that a caller is kept waiting for the whole answer
 * @param targetLatency time to the answer, or to the first event, that callers expect
 * @param tier class of the requests where the team does not set one
 * @param maxAttempts most endpoints that one request may be sent to, at least 1
 * @param isPublic whether requests need no key
 * @param isResumable whether a stream that broke off may be continued by another endpoint
 * @param pools pools that share the requests by weight, at least one
 */
public record Route(
    String name,
    String host,
    String prefix,
    CallKind kind,
    Duration timeout,
    Duration targetLatency,
    Tier tier,
    int maxAttempts,
    boolean isPublic,
    boolean isResumable,
    List<WeightedPool> pools) {

  /** Checks and copies the parts. */
  public Route {
    requireNonNull(name, "name");
    requireNonNull(host, "host");
    requireNonNull(prefix, "prefix");
    requireNonNull(kind, "kind");
    requireNonNull(timeout, "timeout");
    requireNonNull(targetLatency, "targetLatency");
    requireNonNull(tier, "tier");
    pools = List.copyOf(pools);
    if (!prefix.startsWith("/") || !prefix.endsWith("/")) {
      throw new IllegalArgumentException("prefix must begin and end with a slash: " + prefix);
    }
    if (maxAttempts < 1 || pools.isEmpty()) {
      throw new IllegalArgumentException("route needs an attempt and a pool: " + name);
    }
  }

  /**
   * Tells whether a request may run more than once.
   *
   * @return whether it is safe, or a stream that may be resumed
   */
  public boolean isIdempotent() {
    return kind == CallKind.SAFE || (kind == CallKind.STREAM && isResumable);
  }

  /**
   * Chooses the pool of a request.
   *
   * @param draw number drawn evenly from [0, 1)
   * @return pool by weight; empty if all weights are 0
   */
  public Optional<PoolName> pool(double draw) {
    long total = pools.stream().mapToLong(WeightedPool::weight).sum();
    double rest = draw * total;
    for (WeightedPool each : pools) {
      rest -= each.weight();
      if (rest < 0) {
        return Optional.of(each.pool());
      }
    }
    return Optional.empty();
  }
}
