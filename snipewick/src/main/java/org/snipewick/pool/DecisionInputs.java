package org.snipewick.pool;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * State on which a scheduler based a decision, for the log.
 *
 * @param summary state of the pool before the step that made the decision; all decisions of one
 *     step share it
 * @param status status of the granted endpoint; empty if the decision is not a grant
 * @param reportAge time since the last load report of that endpoint arrived; empty if none has
 */
record DecisionInputs(
    PoolSummary summary, Optional<EndpointStatus> status, Optional<Duration> reportAge) {

  DecisionInputs {
    requireNonNull(summary, "summary");
    requireNonNull(status, "status");
    requireNonNull(reportAge, "reportAge");
  }

  /** Returns the inputs as log fields, in a mutable map. */
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
