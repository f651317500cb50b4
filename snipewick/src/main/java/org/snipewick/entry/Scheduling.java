package org.snipewick.entry;

import io.activej.eventloop.Eventloop;
import java.time.Duration;
import org.snipewick.catalogue.CatalogueSource;
import org.snipewick.discovery.EndpointDirectory;
import org.snipewick.discovery.EndpointSink;
import org.snipewick.discovery.EndpointStatuses;
import org.snipewick.endpoint.LoadReports;
import org.snipewick.endpoint.http.HttpLoadReportClient;
import org.snipewick.pool.PeerPoolClient;
import org.snipewick.pool.PoolController;
import org.snipewick.pool.PoolPolicy;
import org.snipewick.pool.SchedulerSettings;

/**
 * Schedulers of the pools that this instance holds, and access to those that others hold.
 *
 * @param controller schedulers on this instance
 * @param client access to all schedulers
 * @param statuses endpoints of the own domain
 */
record Scheduling(PoolController controller, PeerPoolClient client, EndpointStatuses statuses) {

  static Scheduling start(Foundation foundation, CatalogueSource catalogue) {
    PoolController controller =
        PoolController.start(
            foundation.membership(),
            foundation.network(),
            foundation.timer(),
            foundation.timeline(),
            PoolPolicy.standard(),
            SchedulerSettings.defaults());
    PeerPoolClient client =
        PeerPoolClient.start(foundation.membership(), foundation.network(), foundation.timer());
    EndpointDirectory directory =
        EndpointDirectory.start(
            foundation.membership(),
            foundation.platform().instances(),
            foundation.network(),
            foundation.timer());
    EndpointStatuses statuses =
        EndpointStatuses.start(
            foundation.membership(),
            catalogue,
            directory,
            EndpointSink.to(controller),
            foundation.timer());
    LoadReports.start(
        HttpLoadReportClient.of(eventloop("load-reports")),
        statuses,
        statuses::report,
        foundation.timer(),
        foundation.timeline(),
        Duration.ofMillis(LoadReports.DEFAULT_PERIOD_MILLIS));
    return new Scheduling(controller, client, statuses);
  }

  static Eventloop eventloop(String name) {
    Eventloop eventloop = Eventloop.create();
    eventloop.keepAlive(true);
    Thread thread = new Thread(eventloop, name);
    thread.setDaemon(true);
    thread.start();
    return eventloop;
  }
}
