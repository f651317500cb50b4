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

  void responded(Tier tier, int status, long nanos) {
    registry
        .timer("relay_answers.tier." + tier.number() + ".type." + status)
        .update(nanos, TimeUnit.NANOSECONDS);
  }

  void firstEvent(Tier tier, long nanos) {
    registry.timer("relay_first_event.tier." + tier.number()).update(nanos, TimeUnit.NANOSECONDS);
  }

  void recordQueueWait(Tier tier, long nanos) {
    registry.timer("relay_queue_wait.tier." + tier.number()).update(nanos, TimeUnit.NANOSECONDS);
  }

  void failed(FailureType type) {
    registry.counter("relay_failures_" + type.name().toLowerCase(Locale.ROOT)).inc();
  }

  void retried() {
    registry.counter("relay_repeats").inc();
  }

  void callerLeft() {
    registry.counter("relay_callers_left").inc();
  }
}
