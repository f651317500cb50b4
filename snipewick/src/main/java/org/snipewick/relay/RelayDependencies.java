package org.snipewick.relay;

import static java.util.Objects.requireNonNull;

import com.codahale.metrics.MetricRegistry;
import java.time.Duration;
import java.util.random.RandomGenerator;
import org.snipewick.event.EventLog;
import org.snipewick.identity.FailureDomain;
import org.snipewick.memory.MemoryAccount;
import org.snipewick.quarantine.Quarantine;
import org.snipewick.quota.TeamQuotas;
import org.snipewick.rollout.TrafficSplit;
import org.snipewick.route.PlanController;
import org.snipewick.time.TimerService;
import org.snipewick.transport.HttpTransport;

/**
 * Services and settings that the relay uses.
 *
 * @param domain failure domain of the instance
 * @param plans source of the current routing plan
 * @param quotas quotas of teams
 * @param quarantine prompt parts that must not be sent to endpoints
 * @param trafficSplit division of the requests between versions of endpoints
 * @param transport HTTP client for endpoints
 * @param memory account of the bytes that are kept for callers and endpoints
 * @param headerNames names of the headers that the relay reads or sets
 * @param retryBudget retry budget of each pool
 * @param timer source of time, on the event loop of the relay
 * @param events event log
 * @param metrics metrics of the instance
 * @param random source of randomness for the choice of pools
 */
public record RelayDependencies(
    FailureDomain domain,
    PlanController plans,
    TeamQuotas quotas,
    Quarantine quarantine,
    TrafficSplit trafficSplit,
    HttpTransport transport,
    MemoryAccount memory,
    HeaderNames headerNames,
    RetryBudgetSettings retryBudget,
    TimerService timer,
    EventLog events,
    MetricRegistry metrics,
    RandomGenerator random) {

  /** Checks the components. */
  public RelayDependencies {
    requireNonNull(domain, "domain");
    requireNonNull(plans, "plans");
    requireNonNull(quotas, "quotas");
    requireNonNull(quarantine, "quarantine");
    requireNonNull(trafficSplit, "trafficSplit");
    requireNonNull(transport, "transport");
    requireNonNull(memory, "memory");
    requireNonNull(headerNames, "headerNames");
    requireNonNull(retryBudget, "retryBudget");
    requireNonNull(timer, "timer");
    requireNonNull(events, "events");
    requireNonNull(metrics, "metrics");
    requireNonNull(random, "random");
  }

  /**
   * Retry budget of each pool over all instances.
   *
   * @param retriesPerRequest number of retries allowed per request to the pool
   * @param additionalRetries number of retries allowed in a window beyond that
   * @param window time over which requests and retries are counted
   * @param hedgeShare maximum share of a pool's requests that are hedged, 0 for none
   */
  public record RetryBudgetSettings(
      double retriesPerRequest, double additionalRetries, Duration window, double hedgeShare) {

    /** Checks the components. */
    public RetryBudgetSettings {
      requireNonNull(window, "window");
    }
  }
}
