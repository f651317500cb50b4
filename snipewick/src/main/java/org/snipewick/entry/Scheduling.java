package org.snipewick.entry;

import io.activej.eventloop.Eventloop;
import java.time.Duration;
import org.snipewick.catalogue.CatalogueSource;
import org.snipewick.discovery.EndpointDirectory;
import org.snipewick.discovery.EndpointListener;
import org.snipewick.discovery.EndpointStatuses;
import org.snipewick.endpoint.LoadReportPoller;
import org.snipewick.endpoint.http.HttpLoadReportClient;
import org.snipewick.pool.PeerPoolClient;
import org.snipewick.pool.PoolController;
import org.snipewick.pool.PoolPolicy;
import org.snipewick.pool.SchedulerSettings;

/**
 * Schedulers of the pools that are assigned to this instance, and access to those of its peers.
 *
 * @param controller schedulers that run on this instance
 * @param client client of all schedulers, local and remote
 * @param statuses endpoints of the local failure domain
 */
record Scheduling(PoolController controller, PeerPoolClient client, EndpointStatuses statuses) {

  static Scheduling start(SharedComponents components, CatalogueSource catalogue) {
    PoolController controller =
        PoolController.start(
            components.membership(),
            components.network(),
            components.timer(),
            components.timeline(),
            PoolPolicy.standard(),
            SchedulerSettings.defaults());
    PeerPoolClient client =
        PeerPoolClient.start(components.membership(), components.network(), components.timer());
    EndpointDirectory directory =
        EndpointDirectory.start(
            components.membership(),
            components.platform().instances(),
            components.network(),
            components.timer());
    EndpointStatuses statuses =
        EndpointStatuses.start(
            components.membership(),
            catalogue,
            directory,
            EndpointListener.forwardingTo(controller),
            components.timer());
    LoadReportPoller.start(
        HttpLoadReportClient.of(startEventloop("load-reports")),
        statuses,
        statuses::updateReport,
        components.timer(),
        components.timeline(),
        Duration.ofMillis(LoadReportPoller.DEFAULT_PERIOD_MILLIS));
    return new Scheduling(controller, client, statuses);
  }

  /** Starts an event loop on a daemon thread of the given name. */
  static Eventloop startEventloop(String name) {
    Eventloop eventloop = Eventloop.create();
    eventloop.keepAlive(true);
    Thread thread = new Thread(eventloop, name);
    thread.setDaemon(true);
    thread.start();
    return eventloop;
  }
}
