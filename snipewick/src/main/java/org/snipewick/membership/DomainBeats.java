package org.snipewick.membership;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.snipewick.identity.FailureDomain;

/** Counters that only members of a domain raise: one that stands still is cut off or down. */
final class DomainBeats {
  private static final long MILLIS_PER_BEAT = 1_000;

  private final long timeoutNanos;
  private final Map<FailureDomain, Beat> beats = new HashMap<>();

  DomainBeats(long timeoutNanos) {
    this.timeoutNanos = timeoutNanos;
  }

  /** Raises the own counter; the wall clock keeps it growing when all members are replaced. */
  void raise(FailureDomain own, long epochMillis, long nowNanos) {
    note(own, Math.max(get(own) + 1, epochMillis / MILLIS_PER_BEAT), nowNanos);
  }

  void note(FailureDomain domain, long value, long nowNanos) {
    Beat known = beats.get(domain);
    if (known == null || value > known.value()) {
      beats.put(domain, new Beat(value, nowNanos));
    }
  }

  /** Begins to measure the silence of a domain that is known but has not been heard. */
  void expect(FailureDomain domain, long nowNanos) {
    beats.putIfAbsent(domain, new Beat(0, nowNanos));
  }

  long get(FailureDomain domain) {
    Beat known = beats.get(domain);
    return known == null ? 0 : known.value();
  }

  /** Restarts the measurement of silence, as this instance was not able to listen. */
  void forgiveSilence(long nowNanos) {
    beats.replaceAll((domain, beat) -> new Beat(beat.value(), nowNanos));
  }

  Set<FailureDomain> silent(long nowNanos) {
    return beats.entrySet().stream()
        .filter(entry -> nowNanos - entry.getValue().raisedNanos() > timeoutNanos)
        .map(Map.Entry::getKey)
        .collect(Collectors.toUnmodifiableSet());
  }

  private record Beat(long value, long raisedNanos) {}
}
