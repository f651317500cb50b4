package org.snipewick.relay;

import static java.util.Objects.requireNonNull;

import io.activej.eventloop.Eventloop;
import io.activej.eventloop.net.ServerSocketSettings;
import io.activej.http.AsyncHttpServer;
import io.activej.net.PrimaryServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.snipewick.event.CountedEvent;
import org.snipewick.event.EventType;
import org.snipewick.fleet.EndpointLimit;
import org.snipewick.identity.EndpointId;
import org.snipewick.identity.InstanceId;
import org.snipewick.placement.LocalPlacer;
import org.snipewick.placement.RequestPlacer;
import org.snipewick.registry.RegisteredEndpoint;
import org.snipewick.route.CallerLimits;
import org.snipewick.route.RoutingPlan;
import org.snipewick.time.TimerService;
import org.snipewick.transport.CallerConnections;
import org.snipewick.transport.ConnectionLimit;

/** HTTP server that relays requests to endpoints. Used on one event loop only. */
public final class RelayServer {
  /** Time between probes; disconnected callers must be detected well within half a second. */
  private static final Duration PROBE_PERIOD = Duration.ofMillis(150);

  private static final int ACCEPT_BACKLOG_CONNECTIONS = 1024;
  private static final Duration MAX_RESPONSE_TIME = Duration.ofMinutes(11);
  private static final Duration IDLE_TIMEOUT_WITHOUT_PLAN = Duration.ofMinutes(1);
  private static final long HEADER_TIMEOUT_MILLIS_WITHOUT_PLAN = 10_000;

  private final RelayDependencies dependencies;
  private final RelayDispatcher dispatcher;
  private final RelayServlet servlet;
  private final AsyncHttpServer server;
  private final CallerConnections connections;
  private final PrimaryServer acceptor;
  private final TimerService.Subscription probeTimer;

  private RelayServer(
      Eventloop eventloop, InetSocketAddress address, RelayDependencies dependencies) {
    this.dependencies = dependencies;
    dispatcher = new RelayDispatcher(dependencies);
    connections =
        CallerConnections.of(
            eventloop, this::headerTimeoutMillis, RelayServer::malformedRequestResponse);
    CountedEvent limited =
        new CountedEvent(
            EventType.CONNECTIONS_LIMITED,
            dependencies.events(),
            dependencies.timer(),
            dependencies.metrics().counter("relay_connections_limited"));
    connections.setLimit(ConnectionLimit.ofProcess(), limited::record);
    dependencies.metrics().gauge("relay_connections", () -> connections::size);
    servlet = new RelayServlet(dependencies, dispatcher, connections);
    server =
        AsyncHttpServer.create(eventloop, servlet)
            .withReadWriteTimeout(MAX_RESPONSE_TIME, MAX_RESPONSE_TIME)
            .withKeepAliveTimeout(IDLE_TIMEOUT_WITHOUT_PLAN)
            .withInspector(connections);
    connections.setServer(server);
    acceptor =
        PrimaryServer.create(eventloop, List.of(connections))
            .withListenAddress(address)
            .withServerSocketSettings(ServerSocketSettings.create(ACCEPT_BACKLOG_CONNECTIONS));
    probeTimer =
        dependencies
            .timer()
            .every(PROBE_PERIOD, () -> connections.probe(dependencies.timer().nanoTime()));
    dependencies.plans().subscribe(this::applyPlan);
  }

  /**
   * Starts a server; must be called on the event loop's thread.
   *
   * @param eventloop event loop that serves the requests
   * @param address address to listen on
   * @param dependencies dependencies of the relay
   * @return server that accepts callers as soon as the event loop runs
   * @throws IOException if the address cannot be bound
   */
  public static RelayServer listen(
      Eventloop eventloop, InetSocketAddress address, RelayDependencies dependencies)
      throws IOException {
    RelayServer started =
        new RelayServer(
            requireNonNull(eventloop, "eventloop"),
            address,
            requireNonNull(dependencies, "dependencies"));
    started.acceptor.listen();
    return started;
  }

  /**
   * Replaces the list of endpoints.
   *
   * @param endpoints endpoints of all pools
   */
  public void updateEndpoints(Collection<RegisteredEndpoint> endpoints) {
    dispatcher.updateEndpoints(endpoints);
  }

  /**
   * Sets the peers that share the endpoints and the retry budget.
   *
   * @param instances all peers
   */
  public void setPeers(Set<InstanceId> instances) {
    dispatcher.pools().setPeers(instances);
  }

  /**
   * Sets the number of requests that the peers have in flight at each endpoint.
   *
   * @param requests sum over the reporting peers by endpoint
   * @param reportingPeers number of peers that the sum includes
   * @param validity time for which the sum counts as current
   */
  public void setPeersInFlight(
      Map<EndpointId, Integer> requests, int reportingPeers, Duration validity) {
    dispatcher.pools().setPeersInFlight(requests, reportingPeers, validity);
  }

  /**
   * Returns the number of requests that this instance has in flight at each endpoint.
   *
   * @return number of requests by endpoint; endpoints without any are left out
   */
  public Map<EndpointId, Integer> inFlightByEndpoint() {
    return dispatcher.pools().inFlightByEndpoint();
  }

  /**
   * Returns the placer that decides by the queues of this instance.
   *
   * @return placer, used until another one is set
   */
  public LocalPlacer localPlacer() {
    return dispatcher.pools().local();
  }

  /**
   * Sets the placer that decides about new requests.
   *
   * @param placer placer that uses {@link #localPlacer} for the requests that it decides about here
   */
  public void setPlacer(RequestPlacer placer) {
    dispatcher.pools().setPlacer(placer);
  }

  /**
   * Returns the limits that endpoints have named or ended lately in responses to this instance.
   *
   * @return limits by endpoint
   */
  public Map<EndpointId, EndpointLimit> reportedLimits() {
    return dispatcher.reportedLimits();
  }

  /**
   * Applies what an endpoint has said of its limit in a response to another instance.
   *
   * @param endpoint endpoint
   * @param limit its statement; ignored if a later one is known
   */
  public void adoptLimit(EndpointId endpoint, EndpointLimit limit) {
    dispatcher.adoptLimit(endpoint, limit);
  }

  /**
   * Sets the listener to endpoints that announce their departure in a response.
   *
   * @param listener receives the entry of the endpoint, possibly more than once
   */
  public void onDepartureAnnounced(Consumer<RegisteredEndpoint> listener) {
    dispatcher.onDepartureAnnounced(listener);
  }

  /**
   * Returns whether requests can be relayed.
   *
   * @return whether an endpoint is listed that accepts requests
   */
  public boolean hasAcceptingEndpoint() {
    return dispatcher.pools().hasAcceptingEndpoint();
  }

  /**
   * Begins a planned stop: from now on, each connection is closed after its next response, and
   * calls that cannot end before {@link #endAllCalls} are refused.
   *
   * @param timeLeft time until {@link #endAllCalls} will be called
   */
  public void beginStop(Duration timeLeft) {
    server.withMaxKeepAliveRequests(1);
    dispatcher.beginStop(timeLeft);
  }

  /** Ends all calls late in a planned stop, so that each caller gets a response before it ends. */
  public void endAllCalls() {
    refuseNewRequests();
    dispatcher.endAllCalls();
  }

  /**
   * Refuses requests that arrive from now on, and closes idle connections. Called late in a planned
   * stop, when a new request might not end within the grace period.
   */
  public void refuseNewRequests() {
    servlet.refuseNewRequests();
    server.withKeepAliveTimeout(Duration.ZERO);
  }

  /**
   * Returns whether the server can be closed without aborting a response.
   *
   * @return whether no request is being served
   */
  public boolean isIdle() {
    return !connections.isBusy();
  }

  /** Closes the listening socket and all connections. */
  public void close() {
    probeTimer.cancel();
    acceptor.close();
    connections.closeAll();
  }

  private void applyPlan(RoutingPlan plan) {
    if (!servlet.isRefusing()) {
      server.withKeepAliveTimeout(plan.limits().idleTimeout());
    }
  }

  private long headerTimeoutMillis() {
    return dependencies
        .plans()
        .current()
        .map(RoutingPlan::limits)
        .map(CallerLimits::headerTimeout)
        .map(Duration::toMillis)
        .orElse(HEADER_TIMEOUT_MILLIS_WITHOUT_PLAN);
  }

  private static ByteBuffer malformedRequestResponse(Exception thrown, byte[] received) {
    return ByteBuffer.wrap(
        "HTTP/1.1 400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
            .getBytes(StandardCharsets.US_ASCII));
  }
}
