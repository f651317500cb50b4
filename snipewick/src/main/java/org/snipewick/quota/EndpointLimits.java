package org.snipewick.quota;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.stream.Collectors;
import org.snipewick.fleet.EndpointLimit;
import org.snipewick.identity.EndpointId;
import org.snipewick.registry.RegisteredEndpoint;

/**
 * Requests per second that endpoints take from all instances together, by their latest responses to
 * this instance or to others. A limit ends with a response that names none. Not thread-safe.
 */
public final class EndpointLimits {
  /** Age up to which a statement is reported to others; endpoints repeat it with each response. */
  private static final Duration MAX_REPORTED_AGE = Duration.ofSeconds(5);

  /** Time that a report takes, by which the end of a limit may be earlier than its age tells. */
  private static final Duration MAX_REPORT_DELAY = Duration.ofMillis(500);

  /** Time for which the limit of an endpoint without an entry is kept. */
  static final Duration UNLISTED_RETENTION = Duration.ofMinutes(10);

  private final Map<EndpointId, Statement> statements = new HashMap<>();
  private final Map<EndpointId, Long> unlistedSinceNanos = new HashMap<>();
  private Set<EndpointId> listed = Set.of();

  /**
   * What a response said.
   *
   * @param limit requests per second; empty if it ended a limit
   * @param atNanos latest time at which a limit, or earliest at which the end of one, was stated
   * @param isOwn whether the response was one to this instance
   */
  private record Statement(OptionalDouble limit, long atNanos, boolean isOwn) {}

  private EndpointLimits() {}

  /**
   * Creates limits of endpoints that have named none.
   *
   * @return limits without endpoints
   */
  public static EndpointLimits empty() {
    return new EndpointLimits();
  }

  /**
   * Stores what a response to this instance names. A response without a limit ends it only if its
   * request was sent after the limit was last named, as responses may arrive in another order than
   * they were made in.
   *
   * @param endpoint endpoint that responded
   * @param named requests per second; empty if the response names no limit
   * @param sentNanos monotonic time at which the request was sent, in nanoseconds
   * @param nowNanos current monotonic time, in nanoseconds
   * @return whether the limit has changed
   */
  public boolean update(EndpointId endpoint, OptionalDouble named, long sentNanos, long nowNanos) {
    Statement known = statements.get(endpoint);
    if (named.isEmpty() && (known == null || sentNanos - known.atNanos() <= 0)) {
      return false;
    }
    return put(endpoint, new Statement(named, named.isPresent() ? nowNanos : sentNanos, true));
  }

  /**
   * Stores what a response to another instance named, unless a later one is known.
   *
   * @param endpoint endpoint that responded
   * @param reported what it said
   * @param nowNanos current monotonic time, in nanoseconds
   * @return whether the limit has changed
   */
  public boolean adopt(EndpointId endpoint, EndpointLimit reported, long nowNanos) {
    OptionalDouble limit =
        reported.requestsPerSecond() >= 0
            ? OptionalDouble.of(reported.requestsPerSecond())
            : OptionalDouble.empty();
    long ageNanos = Duration.ofMillis(reported.ageMillis()).toNanos();
    long atNanos = nowNanos - ageNanos - (limit.isEmpty() ? MAX_REPORT_DELAY.toNanos() : 0);
    Statement known = statements.get(endpoint);
    if (!listed.contains(endpoint) || (known != null && atNanos - known.atNanos() <= 0)) {
      return false;
    }
    return put(endpoint, new Statement(limit, atNanos, false));
  }

  private boolean put(EndpointId endpoint, Statement statement) {
    OptionalDouble before = limit(endpoint);
    statements.put(endpoint, statement);
    return !statement.limit().equals(before);
  }

  /**
   * Returns the limit of an endpoint.
   *
   * @param endpoint endpoint
   * @return requests per second; empty if it has no limit
   */
  public OptionalDouble limit(EndpointId endpoint) {
    Statement statement = statements.get(endpoint);
    return statement == null ? OptionalDouble.empty() : statement.limit();
  }

  /**
   * Returns what responses to this instance have said lately.
   *
   * @param nowNanos current monotonic time, in nanoseconds
   * @return statements by endpoint
   */
  public Map<EndpointId, EndpointLimit> reported(long nowNanos) {
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

  /**
   * Removes the limits of endpoints that have not been listed for long. An entry may lapse and
   * return while its endpoint goes on naming its limit, and a new process of an endpoint may name
   * one before its start is listed, so that only a response ends a limit.
   *
   * @param endpoints all endpoints that are listed
   * @param nowNanos current monotonic time, in nanoseconds
   * @return endpoints whose limits were removed
   */
  public Set<EndpointId> retain(Collection<RegisteredEndpoint> endpoints, long nowNanos) {
    listed = endpoints.stream().map(RegisteredEndpoint::id).collect(Collectors.toSet());
    unlistedSinceNanos.keySet().removeAll(listed);
    Set<EndpointId> removed = new HashSet<>();
    for (EndpointId endpoint : Set.copyOf(statements.keySet())) {
      if (!listed.contains(endpoint)
          && nowNanos - unlistedSinceNanos.computeIfAbsent(endpoint, id -> nowNanos)
              > UNLISTED_RETENTION.toNanos()) {
        unlistedSinceNanos.remove(endpoint);
        if (statements.remove(endpoint).limit().isPresent()) {
          removed.add(endpoint);
        }
      }
    }
    return removed;
  }

  /**
   * Returns the number of endpoints that have named a limit.
   *
   * @return number of limits
   */
  public int size() {
    return (int) statements.values().stream().filter(each -> each.limit().isPresent()).count();
  }
}
