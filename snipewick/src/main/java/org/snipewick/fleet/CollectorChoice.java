package org.snipewick.fleet;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.List;
import org.snipewick.identity.InstanceId;

/**
 * Choice of the instance that collects the reports of this one. An instance that sends no sums is
 * replaced by the next candidate; preferred candidates are tried again from time to time. Not
 * thread-safe.
 */
final class CollectorChoice {
  private static final long RETRY_PREFERRED_NANOS = Duration.ofSeconds(5).toNanos();

  private final InstanceId self;
  private List<InstanceId> candidates;
  private int current;
  private long answeredNanos;
  private long retriedNanos;

  CollectorChoice(InstanceId self, long nowNanos) {
    this.self = requireNonNull(self, "self");
    this.candidates = List.of(self);
    this.answeredNanos = nowNanos;
    this.retriedNanos = nowNanos;
  }

  /**
   * Replaces the candidates. The current collector remains the same if it is among them, unless it
   * is this instance itself, which may only have had no other candidates.
   */
  void setCandidates(List<InstanceId> changed, long nowNanos) {
    InstanceId collector = collector();
    candidates = List.copyOf(changed);
    int index = collector.equals(self) ? -1 : candidates.indexOf(collector);
    if (index < 0) {
      answeredNanos = nowNanos;
    }
    current = Math.max(0, index);
  }

  InstanceId collector() {
    return candidates.get(current);
  }

  /** Replaces the current collector if it has not sent a sum for the given time. */
  void replaceSilent(Duration timeout, long nowNanos) {
    if (!collector().equals(self) && nowNanos - answeredNanos > timeout.toNanos()) {
      current = (current + 1) % candidates.size();
      answeredNanos = nowNanos;
    }
  }

  /** Returns the preferred candidates if they are to be tried again now. */
  List<InstanceId> preferredToRetry(long nowNanos) {
    if (nowNanos - retriedNanos < RETRY_PREFERRED_NANOS) {
      return List.of();
    }
    retriedNanos = nowNanos;
    return candidates.subList(0, current);
  }

  /** Handles a sum; returns whether its sender is the collector from now on. */
  boolean onSum(InstanceId from, long nowNanos) {
    int index = candidates.indexOf(from);
    if (index < 0 || index > current) {
      return false;
    }
    current = index;
    answeredNanos = nowNanos;
    return true;
  }
}
