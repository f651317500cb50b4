package org.snipewick.fleet;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.List;
import org.snipewick.identity.InstanceId;

/**
 * Choice of the peer that does something for this instance, such as collecting its reports. A peer
 * that does not answer is replaced by the next candidate; preferred candidates are tried again from
 * time to time. Not thread-safe.
 */
public final class CandidateChoice {
  private static final long RETRY_PREFERRED_NANOS = Duration.ofSeconds(5).toNanos();

  private final InstanceId self;
  private List<InstanceId> candidates;
  private int current;
  private long answeredNanos;
  private long retriedNanos;

  /**
   * Creates a choice without other candidates than this instance.
   *
   * @param self this instance
   * @param nowNanos current monotonic time, in nanoseconds
   */
  public CandidateChoice(InstanceId self, long nowNanos) {
    this.self = requireNonNull(self, "self");
    this.candidates = List.of(self);
    this.answeredNanos = nowNanos;
    this.retriedNanos = nowNanos;
  }

  /**
   * Replaces the candidates. The chosen one remains the same if it is among them, unless it is this
   * instance itself, which may only have had no other candidates.
   *
   * @param changed candidates, the preferred one first, at least one
   * @param nowNanos current monotonic time, in nanoseconds
   */
  public void setCandidates(List<InstanceId> changed, long nowNanos) {
    if (candidates.equals(changed)) {
      return;
    }
    InstanceId before = chosen();
    candidates = List.copyOf(changed);
    int index = before.equals(self) ? -1 : candidates.indexOf(before);
    if (index < 0) {
      answeredNanos = nowNanos;
    }
    current = Math.max(0, index);
  }

  /**
   * Returns the chosen candidate.
   *
   * @return peer, or this instance
   */
  public InstanceId chosen() {
    return candidates.get(current);
  }

  /**
   * Replaces the chosen candidate by the next one if it has not answered for the given time.
   *
   * @param timeout time without an answer
   * @param nowNanos current monotonic time, in nanoseconds
   */
  public void replaceSilent(Duration timeout, long nowNanos) {
    if (!chosen().equals(self) && nowNanos - answeredNanos > timeout.toNanos()) {
      replace(chosen(), nowNanos);
    }
  }

  /**
   * Replaces a candidate, if it is the chosen one, by the next one.
   *
   * @param silent candidate that declined or was found to be silent
   * @param nowNanos current monotonic time, in nanoseconds
   */
  public void replace(InstanceId silent, long nowNanos) {
    if (chosen().equals(silent)) {
      current = (current + 1) % candidates.size();
      answeredNanos = nowNanos;
    }
  }

  /**
   * Returns the preferred candidates if they are to be tried again now.
   *
   * @param nowNanos current monotonic time, in nanoseconds
   * @return candidates, none between two tries
   */
  public List<InstanceId> preferredToRetry(long nowNanos) {
    if (nowNanos - retriedNanos < RETRY_PREFERRED_NANOS) {
      return List.of();
    }
    retriedNanos = nowNanos;
    return candidates.subList(0, current);
  }

  /**
   * Handles an answer of a candidate.
   *
   * @param from candidate that answered
   * @param nowNanos current monotonic time, in nanoseconds
   * @return whether it is the chosen one from now on
   */
  public boolean onAnswer(InstanceId from, long nowNanos) {
    int index = candidates.indexOf(from);
    if (index < 0 || index > current) {
      return false;
    }
    current = index;
    answeredNanos = nowNanos;
    return true;
  }
}
