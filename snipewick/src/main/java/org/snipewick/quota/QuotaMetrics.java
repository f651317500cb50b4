package org.snipewick.quota;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;
import java.util.Collection;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/** Metrics of quotas. */
final class QuotaMetrics {
  private final Timer waits;
  private final Counter asks;
  private final Counter unanswered;
  private final Counter refused;
  private final Counter permitsGranted;
  private final Counter permitsRefused;
  private final Counter permitsExpired;

  QuotaMetrics(
      MetricRegistry registry, Supplier<? extends Collection<?>> held, LongSupplier granted) {
    registry.gauge("quota_slots_held", () -> (Gauge<Integer>) () -> held.get().size());
    registry.gauge("quota_granted_percent", () -> (Gauge<Long>) granted::getAsLong);
    this.waits = registry.timer("quota_wait");
    this.asks = registry.counter("quota_asks");
    this.unanswered = registry.counter("quota_asks_unanswered");
    this.refused = registry.counter("quota_refused");
    this.permitsGranted = registry.counter("endpoint_permits_granted");
    this.permitsRefused = registry.counter("endpoint_permits_refused");
    this.permitsExpired = registry.counter("endpoint_permits_expired");
  }

  /** Records the time for which a request waited for a grant. */
  void recordWait(long nanos) {
    waits.update(nanos, TimeUnit.NANOSECONDS);
  }

  void countAsk() {
    asks.inc();
  }

  void countUnanswered() {
    unanswered.inc();
  }

  void countRefused() {
    refused.inc();
  }

  /** Counts the result of a request for a permit. */
  void countPermit(boolean isGranted) {
    (isGranted ? permitsGranted : permitsRefused).inc();
  }

  /** Counts a permit that no request has used. */
  void countExpiredPermit() {
    permitsExpired.inc();
  }
}
