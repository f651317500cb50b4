package org.snipewick.feed;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import java.util.function.LongSupplier;

/** Metrics of shared reads. */
final class FeedMetrics {
  private final MetricRegistry registry;
  private final Counter served;
  private final Counter fallbacks;
  private final Counter storeCalls;

  FeedMetrics(MetricRegistry registry) {
    this.registry = registry;
    this.served = registry.counter("feed_queries_served");
    this.fallbacks = registry.counter("feed_store_fallbacks");
    this.storeCalls = registry.counter("feed_store_calls");
  }

  /** Registers the age of a table's proof, in milliseconds; -1 before the first one. */
  void addProofAge(String table, LongSupplier ageMillis) {
    registry.gauge("feed_proof_age_millis_" + table, () -> (Gauge<Long>) ageMillis::getAsLong);
  }

  void countServed() {
    served.inc();
  }

  void countFallback() {
    fallbacks.inc();
  }

  void countStoreCall() {
    storeCalls.inc();
  }
}
