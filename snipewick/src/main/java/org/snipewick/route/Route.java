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
 * Configuration for the requests to a host whose path begins with a prefix.
 *
 * @param name name of the route, unique in a plan
 * @param host value of the Host header without the port
 * @param prefix prefix of the paths; begins and ends with a slash
 * @param kind kind of the requests, which decides whether they may be retried
 * @param timeout maximum time until the whole answer is sent to the caller
 * @param targetLatency time to the answer, or to the first event of a stream, that callers expect
 * @param targetGap longest time between events that callers expect; empty if not a stream
 * @param tier tier of the requests whose team sets none
 * @param maxAttempts maximum number of endpoints that a request is sent to, at least 1
 * @param isPublic whether requests need no key
 * @param isResumable whether another endpoint may resume a stream that was interrupted
 * @param pools pools among which the requests are divided by weight, at least one
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
  /** Minimum time that callers wait for the beginning of a stream. */
  private static final Duration MIN_ANSWER_START_TIMEOUT = Duration.ofSeconds(2);

  /** Number of target latencies that callers wait for the beginning of a stream. */
  private static final int TARGET_LATENCIES_UNTIL_TIMEOUT = 4;

  /** Number of target gaps that callers wait for the beginning of a stream, if this is longer. */
  private static final int TARGET_GAPS_UNTIL_TIMEOUT = 8;

  /**
   * Checks the components and copies the list.
   *
   * @throws IllegalArgumentException if the prefix does not begin and end with a slash, {@code
   *     maxAttempts} is less than 1 or there are no pools
   */
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
      throw new IllegalArgumentException(
          "maxAttempts must be at least 1 and pools must not be empty for route " + name);
    }
  }

  /**
   * Returns whether a request may run more than once.
   *
   * @return whether its kind is SAFE, or STREAM on a route that allows resumption
   */
  public boolean isIdempotent() {
    return kind == CallKind.SAFE || (kind == CallKind.STREAM && isResumable);
  }

  /**
   * Returns how long callers wait for the beginning of an answer. Callers abandon a stream without
   * events after the longest of two seconds, four times the target latency and eight times the
   * target gap, but not later than the timeout; other requests only at the timeout.
   *
   * @return maximum useful time until an answer begins
   */
  public Duration answerStartTimeout() {
    if (kind != CallKind.STREAM) {
      return timeout;
    }
    Duration byLatency = targetLatency.multipliedBy(TARGET_LATENCIES_UNTIL_TIMEOUT);
    Duration byGap = targetGap.orElse(Duration.ZERO).multipliedBy(TARGET_GAPS_UNTIL_TIMEOUT);
    return Stream.of(MIN_ANSWER_START_TIMEOUT, byLatency, byGap)
        .max(Comparator.naturalOrder())
        .filter(longest -> longest.compareTo(timeout) < 0)
        .orElse(timeout);
  }

  /**
   * Chooses the pool of a request.
   *
   * @param draw random number, uniformly distributed in [0, 1)
   * @return pool chosen with a probability proportional to its weight; empty if all weights are 0
   */
  public Optional<PoolName> choosePool(double draw) {
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
