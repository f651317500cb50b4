package org.snipewick.request;

import static java.util.Objects.requireNonNull;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import org.snipewick.failure.FailureType;
import org.snipewick.identity.Tier;

/** Metrics of requests: counts by tier and result, latencies and calls in flight. */
final class RequestMetrics {
  private static final String PREFIX = "requests";

  private final MetricRegistry registry;

  private RequestMetrics(MetricRegistry registry) {
    this.registry = registry;
  }

  static RequestMetrics of(MetricRegistry registry, InFlight inFlight) {
    requireNonNull(registry, "registry");
    registry.gauge(MetricRegistry.name(PREFIX, "in_flight"), () -> (Gauge<Long>) inFlight::count);
    return new RequestMetrics(registry);
  }

  /** Counts a request whose tier is known. */
  void received(Tier tier) {
    registry.counter(name(tier, "received")).inc();
  }

  /** Counts a complete answer and records its latency in nanoseconds. */
  void answered(Tier tier, boolean inTime, long latencyNanos) {
    registry.counter(name(tier, inTime ? "answered_in_time" : "answered_late")).inc();
    registry.timer(name(tier, "latency")).update(latencyNanos, TimeUnit.NANOSECONDS);
  }

  /** Counts a failure of a request whose tier is known. */
  void failed(Tier tier, FailureType type) {
    registry.counter(name(tier, "failed", lowerCaseName(type))).inc();
  }

  /** Counts a failure of a request whose tier is not known. */
  void refused(FailureType type) {
    registry.counter(MetricRegistry.name(PREFIX, "refused", lowerCaseName(type))).inc();
  }

  private static String name(Tier tier, String... parts) {
    return MetricRegistry.name(PREFIX + ".tier" + tier.number(), parts);
  }

  private static String lowerCaseName(FailureType type) {
    return type.name().toLowerCase(Locale.ROOT);
  }
}
