package org.snipewick.relay;

import static java.util.Objects.requireNonNull;

import com.codahale.metrics.MetricRegistry;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import org.snipewick.failure.FailureType;
import org.snipewick.identity.Tier;

/** Counters and latency timers of the relay. */
final class RelayMetrics {
  private final MetricRegistry registry;

  RelayMetrics(MetricRegistry registry) {
    this.registry = requireNonNull(registry, "registry");
  }

  /** Records the time from the arrival of a request to its complete response. */
  void recordResponse(Tier tier, int status, long nanos) {
    registry
        .timer("relay_answers.tier." + tier.number() + ".type." + status)
        .update(nanos, TimeUnit.NANOSECONDS);
  }

  /** Records the time from the arrival of a request to the first bytes of its stream. */
  void recordFirstEvent(Tier tier, long nanos) {
    registry.timer("relay_first_event.tier." + tier.number()).update(nanos, TimeUnit.NANOSECONDS);
  }

  /** Records the time from the arrival of a request until an attempt to run it is sent. */
  void recordQueueWait(Tier tier, long nanos) {
    registry.timer("relay_queue_wait.tier." + tier.number()).update(nanos, TimeUnit.NANOSECONDS);
  }

  void countFailure(FailureType type) {
    registry.counter("relay_failures_" + type.name().toLowerCase(Locale.ROOT)).inc();
  }

  void countRetry() {
    registry.counter("relay_repeats").inc();
  }

  void countBrokenResponse(RelayAttempt.Progress progress) {
    registry.counter("relay_broken_" + progress.name().toLowerCase(Locale.ROOT)).inc();
  }

  /** Counts second attempts by what became of them: {@code sent}, {@code won} or {@code lost}. */
  void countHedge(String fate) {
    registry.counter("relay_hedges_" + fate).inc();
  }

  void countDefect() {
    registry.counter("relay_defects").inc();
  }

  void countCallerDisconnection() {
    registry.counter("relay_callers_left").inc();
  }
}
