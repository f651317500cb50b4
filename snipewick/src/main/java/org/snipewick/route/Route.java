package org.snipewick.route;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
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
 * @param targetGap longest pause between events that callers expect; empty if no stream
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
    Optional<Duration> targetGap,
    Tier tier,
    int maxAttempts,
    boolean isPublic,
    boolean isResumable,
    List<WeightedPool> pools) {
  private static final Duration MIN_PATIENCE = Duration.ofSeconds(2);
  private static final int LATENCIES_OF_PATIENCE = 4;
  private static final int GAPS_OF_PATIENCE = 8;

  /** Checks and copies the parts. */
  public Route {
    requireNonNull(name, "name");
    requireNonNull(host, "host");
    requireNonNull(prefix, "prefix");
    requireNonNull(kind, "kind");
    requireNonNull(timeout, "timeout");
    requireNonNull(targetLatency, "targetLatency");
    requireNonNull(targetGap, "targetGap");
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
   * Returns how long callers wait for the beginning of an answer. A stream is given up after a
   * silence of two seconds, four times the target latency or eight times the target gap, whichever
   * is longest; other requests only at the end of their time.
   *
   * @return longest useful time to the beginning of an answer
   */
  public Duration patience() {
    if (kind != CallKind.STREAM) {
      return timeout;
    }
    Duration byLatency = targetLatency.multipliedBy(LATENCIES_OF_PATIENCE);
    Duration byGap = targetGap.orElse(Duration.ZERO).multipliedBy(GAPS_OF_PATIENCE);
    return Stream.of(MIN_PATIENCE, byLatency, byGap)
        .max(Comparator.naturalOrder())
        .filter(patience -> patience.compareTo(timeout) < 0)
        .orElse(timeout);
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
