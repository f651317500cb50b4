package org.snipewick.pool;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * What a scheduler knew when it decided, for the log.
 *
 * @param summary state of the pool before the decision, and before those of the same step
 * @param status status of the granted endpoint; empty if none was granted
 * @param reportAge time since that endpoint's last report arrived; empty if none has
 */
record DecisionInputs(
    PoolSummary summary, Optional<EndpointStatus> status, Optional<Duration> reportAge) {

  DecisionInputs {
    requireNonNull(summary, "summary");
    requireNonNull(status, "status");
    requireNonNull(reportAge, "reportAge");
  }

  /** Returns the inputs by name. */
  Map<String, Object> toDetails() {
    Map<String, Object> details = new TreeMap<>();
    summary.waiting().forEach((tier, count) -> details.put("waitingTier" + tier.number(), count));
    details.put("inFlight", summary.inFlight());
    details.put("liveEndpoints", summary.liveEndpoints());
    summary.shedTier().ifPresent(tier -> details.put("shedTier", tier.number()));
    status.ifPresent(
        endpoint -> {
          details.put("endpoint", endpoint.id().value());
          details.put("reportedRunning", endpoint.reportedRunning());
          details.put("reportedQueued", endpoint.reportedQueued());
        });
    reportAge.ifPresent(age -> details.put("reportAgeMillis", age.toMillis()));
    return details;
  }
}
