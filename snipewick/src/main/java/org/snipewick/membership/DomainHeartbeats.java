package org.snipewick.membership;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.snipewick.identity.FailureDomain;

/**
 * Heartbeat counter of each failure domain. Only members of a domain increment its counter, so a
 * domain whose counter stops advancing is down or cut off. Used by the timer's thread only.
 */
final class DomainHeartbeats {
  private static final long MILLIS_PER_INCREMENT = 1_000;

  private final long timeoutNanos;
  private final Map<FailureDomain, Counter> counters = new HashMap<>();

  DomainHeartbeats(long timeoutNanos) {
    this.timeoutNanos = timeoutNanos;
  }

  /**
   * Increments the counter of the local domain, and raises it at least to the wall clock in units
   * of {@link #MILLIS_PER_INCREMENT}, so that it keeps growing when all members of the domain are
   * replaced.
   */
  void increment(FailureDomain local, long epochMillis, long nowNanos) {
    advanceTo(local, Math.max(get(local) + 1, epochMillis / MILLIS_PER_INCREMENT), nowNanos);
  }

  /** Raises the counter of a domain to a value; ignores a value that is not higher. */
  void advanceTo(FailureDomain domain, long value, long nowNanos) {
    Counter current = counters.get(domain);
    if (current == null || value > current.value()) {
      counters.put(domain, new Counter(value, nowNanos));
    }
  }

  /** Starts the timeout of a domain whose heartbeat counter was not received yet. */
  void startTracking(FailureDomain domain, long nowNanos) {
    counters.putIfAbsent(domain, new Counter(0, nowNanos));
  }

  /** Returns the counter of a domain, 0 if none was received. */
  long get(FailureDomain domain) {
    Counter current = counters.get(domain);
    return current == null ? 0 : current.value();
  }

  /** Restarts all timeouts after this process was paused and received nothing. */
  void restartTimeouts(long nowNanos) {
    counters.replaceAll((domain, counter) -> new Counter(counter.value(), nowNanos));
  }

  /** Returns the domains whose counters have not advanced within the timeout. */
  Set<FailureDomain> timedOutDomains(long nowNanos) {
    return counters.entrySet().stream()
        .filter(entry -> nowNanos - entry.getValue().advancedNanos() > timeoutNanos)
        .map(Map.Entry::getKey)
        .collect(Collectors.toUnmodifiableSet());
  }

  private record Counter(long value, long advancedNanos) {}
}
