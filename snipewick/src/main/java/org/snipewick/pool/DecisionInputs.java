package org.snipewick.pool;

import static java.util.Objects.requireNonNull;

import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * What a scheduler knew when it decided, for the log.
 *
 * @param summary state of the pool
 * @param status status of the granted endpoint; empty if none was granted
 * @param statusUnchangedMillis time since that status changed last, in milliseconds
 */
record DecisionInputs(
    PoolSummary summary, Optional<EndpointStatus> status, long statusUnchangedMillis) {

  DecisionInputs {
    requireNonNull(summary, "summary");
    requireNonNull(status, "status");
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
          details.put("statusUnchangedMillis", statusUnchangedMillis);
        });
    return details;
  }
}
