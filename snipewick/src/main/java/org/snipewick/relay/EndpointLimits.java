package org.snipewick.relay;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalDouble;
import org.snipewick.fleet.EndpointLimit;
import org.snipewick.identity.EndpointId;
import org.snipewick.registry.RegisteredEndpoint;

/**
 * Requests per second that endpoints take from all instances together, by their latest responses to
 * this instance or to others. A limit ends with a response that names none and with a restart of
 * the endpoint. Not thread-safe.
 */
final class EndpointLimits {
  /** Age up to which a statement is reported to others; endpoints repeat it with each response. */
  private static final Duration MAX_REPORTED_AGE = Duration.ofSeconds(5);

  private final Map<EndpointId, Statement> statements = new HashMap<>();
  private final Map<EndpointId, Long> startedEpochMillis = new HashMap<>();

  /** What a response said; empty if it ended a limit. */
  private record Statement(OptionalDouble limit, long atNanos, boolean isOwn) {}

  /**
   * Stores what a response to this instance names.
   *
   * @param endpoint endpoint that responded
   * @param named requests per second; empty if the response names no limit
   * @param nowNanos current monotonic time, in nanoseconds
   * @return whether the limit has changed
   */
  boolean update(EndpointId endpoint, OptionalDouble named, long nowNanos) {
    OptionalDouble before = limit(endpoint);
    if (named.isPresent() || statements.containsKey(endpoint)) {
      statements.put(endpoint, new Statement(named, nowNanos, true));
    }
    return !named.equals(before);
  }

  /**
   * Stores what a response to another instance named, unless a later one is known.
   *
   * @return whether the limit has changed
   */
  boolean adopt(EndpointId endpoint, EndpointLimit reported, long nowNanos) {
    long atNanos = nowNanos - Duration.ofMillis(reported.ageMillis()).toNanos();
    Statement known = statements.get(endpoint);
    if (!startedEpochMillis.containsKey(endpoint)
        || (known != null && atNanos - known.atNanos() <= 0)) {
      return false;
    }
    OptionalDouble limit =
        reported.requestsPerSecond() >= 0
            ? OptionalDouble.of(reported.requestsPerSecond())
            : OptionalDouble.empty();
    OptionalDouble before = limit(endpoint);
    statements.put(endpoint, new Statement(limit, atNanos, false));
    return !limit.equals(before);
  }

  /** Returns the limit of an endpoint; empty if it has none. */
  OptionalDouble limit(EndpointId endpoint) {
    Statement statement = statements.get(endpoint);
    return statement == null ? OptionalDouble.empty() : statement.limit();
  }

  /** Returns what responses to this instance have said lately. */
  Map<EndpointId, EndpointLimit> reported(long nowNanos) {
    statements
        .values()
        .removeIf(
            statement -> statement.limit().isEmpty() && !isRecent(statement.atNanos(), nowNanos));
    Map<EndpointId, EndpointLimit> reported = new HashMap<>();
    statements.forEach(
        (endpoint, statement) -> {
          if (statement.isOwn() && isRecent(statement.atNanos(), nowNanos)) {
            long ageMillis = Duration.ofNanos(nowNanos - statement.atNanos()).toMillis();
            reported.put(endpoint, new EndpointLimit(statement.limit().orElse(-1), ageMillis));
          }
        });
    return reported;
  }

  private static boolean isRecent(long atNanos, long nowNanos) {
    return nowNanos - atNanos <= MAX_REPORTED_AGE.toNanos();
  }

  /** Ends the limits of endpoints that are not listed or have started again. */
  void retain(Collection<RegisteredEndpoint> endpoints) {
    Map<EndpointId, Long> started = new HashMap<>();
    endpoints.forEach(each -> started.put(each.id(), each.startedEpochMillis()));
    statements
        .keySet()
        .removeIf(
            id -> {
              Long before = startedEpochMillis.get(id);
              return !started.containsKey(id)
                  || (before != null && !before.equals(started.get(id)));
            });
    startedEpochMillis.clear();
    startedEpochMillis.putAll(started);
  }

  /** Returns the number of endpoints that have named a limit. */
  int size() {
    return (int) statements.values().stream().filter(each -> each.limit().isPresent()).count();
  }
}
