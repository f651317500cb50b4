package org.snipewick.request;

import static java.util.Objects.requireNonNull;

import com.codahale.metrics.MetricRegistry;
import org.snipewick.catalogue.CatalogueSource;
import org.snipewick.event.EventLog;
import org.snipewick.idempotency.RequestLedger;
import org.snipewick.limits.TeamLimits;
import org.snipewick.pool.PoolClient;
import org.snipewick.time.TimerService;

/**
 * Services of an entry instance that the request filters use.
 *
 * @param catalogue catalogue in force
 * @param limits limits of teams
 * @param ledger ledger of idempotency keys
 * @param pool client of the schedulers of the pools
 * @param timer timer service
 * @param log event log
 * @param metrics registry of the instance's metrics
 */
public record RequestServices(
    CatalogueSource catalogue,
    TeamLimits limits,
    RequestLedger ledger,
    PoolClient pool,
    TimerService timer,
    EventLog log,
    MetricRegistry metrics) {

  /** Checks that no component is null. */
  public RequestServices {
    requireNonNull(catalogue, "catalogue");
    requireNonNull(limits, "limits");
    requireNonNull(ledger, "ledger");
    requireNonNull(pool, "pool");
    requireNonNull(timer, "timer");
    requireNonNull(log, "log");
    requireNonNull(metrics, "metrics");
  }
}
