package org.snipewick.relay;

import static java.util.Objects.requireNonNull;

import com.codahale.metrics.MetricRegistry;
import java.time.Duration;
import java.util.random.RandomGenerator;
import org.snipewick.event.EventLog;
import org.snipewick.identity.FailureDomain;
import org.snipewick.quota.QuotaLedger;
import org.snipewick.route.PlanController;
import org.snipewick.time.TimerService;
import org.snipewick.transport.HttpTransport;

/**
 * What the relay stands on.
 *
 * @param domain failure domain of the instance
 * @param plans routing plan in force
 * @param quotas quotas of teams
 * @param transport client of endpoints
 * @param names names of headers
 * @param repeats bound on sending requests once more
 * @param timer source of time, on the event loop of the relay
 * @param events event log
 * @param metrics metrics of the instance
 * @param random randomness for the choice of pools
 */
public record RelayServices(
    FailureDomain domain,
    PlanController plans,
    QuotaLedger quotas,
    HttpTransport transport,
    HeaderNames names,
    RepeatBound repeats,
    TimerService timer,
    EventLog events,
    MetricRegistry metrics,
    RandomGenerator random) {

  /** Checks the parts. */
  public RelayServices {
    requireNonNull(domain, "domain");
    requireNonNull(plans, "plans");
    requireNonNull(quotas, "quotas");
    requireNonNull(transport, "transport");
    requireNonNull(names, "names");
    requireNonNull(repeats, "repeats");
    requireNonNull(timer, "timer");
    requireNonNull(events, "events");
    requireNonNull(metrics, "metrics");
    requireNonNull(random, "random");
  }

  /**
   * Bound on sending requests to an endpoint once more, over all instances.
   *
   * @param ratio repeats for each request to a pool
   * @param slack repeats in a window beyond that
   * @param window span over which both are counted
   */
  public record RepeatBound(double ratio, double slack, Duration window) {

    /** Checks the parts. */
    public RepeatBound {
      requireNonNull(window, "window");
    }
  }
}
