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
import org.snipewick.identity.EndpointId;
import org.snipewick.identity.InstanceId;
import org.snipewick.roster.RosterEndpoint;
import org.snipewick.route.CallerLimits;
import org.snipewick.route.RoutingPlan;
import org.snipewick.time.TimerService;
import org.snipewick.transport.CallerConnections;

/** Front that relays requests, on one event loop. */
public final class RelayServer {
  /** Callers that left must be noticed well within half a second. */
  private static final Duration PROBE_PERIOD = Duration.ofMillis(150);

  private static final int BACKLOG = 1024;
  private static final Duration LONGEST_RESPONSE = Duration.ofMinutes(11);
  private static final Duration IDLE_TIMEOUT_WITHOUT_PLAN = Duration.ofMinutes(1);
  private static final long HEADER_TIMEOUT_MILLIS_WITHOUT_PLAN = 10_000;

  private final RelayServices services;
  private final RelayDispatcher dispatcher;
  private final RelayServlet servlet;
  private final AsyncHttpServer server;
  private final CallerConnections connections;
  private final PrimaryServer acceptor;
  private final TimerService.Subscription probe;

  private RelayServer(Eventloop eventloop, InetSocketAddress address, RelayServices services) {
    this.services = services;
    dispatcher = new RelayDispatcher(services);
    connections =
        CallerConnections.of(eventloop, this::headerTimeoutMillis, RelayServer::malformedAnswer);
    servlet = new RelayServlet(services, dispatcher, connections);
    server =
        AsyncHttpServer.create(eventloop, servlet)
            .withReadWriteTimeout(LONGEST_RESPONSE, LONGEST_RESPONSE)
            .withKeepAliveTimeout(IDLE_TIMEOUT_WITHOUT_PLAN)
            .withInspector(connections);
    connections.setServer(server);
    acceptor =
        PrimaryServer.create(eventloop, List.of(connections))
            .withListenAddress(address)
            .withServerSocketSettings(ServerSocketSettings.create(BACKLOG));
    probe =
        services.timer().every(PROBE_PERIOD, () -> connections.probe(services.timer().nanoTime()));
    services.plans().subscribe(this::apply);
  }

  /**
   * Starts to listen; to be called on the event loop's thread.
   *
   * @param eventloop event loop that serves
   * @param address address to listen on
   * @param services what the relay stands on
   * @return front that accepts callers as soon as the event loop runs
   * @throws IOException if the address cannot be bound
   */
  public static RelayServer listen(
      Eventloop eventloop, InetSocketAddress address, RelayServices services) throws IOException {
    RelayServer started =
        new RelayServer(
            requireNonNull(eventloop, "eventloop"), address, requireNonNull(services, "services"));
    started.acceptor.listen();
    return started;
  }

  /**
   * Takes all endpoints as they are listed now.
   *
   * @param endpoints endpoints of all pools
   */
  public void update(Collection<RosterEndpoint> endpoints) {
    dispatcher.update(endpoints);
  }

  /**
   * Sets which other instances share endpoints and the budget of repeats.
   *
   * @param others other instances
   */
  public void peers(Set<InstanceId> others) {
    dispatcher.peers(others);
  }

  /**
   * Takes what another instance has at endpoints.
   *
   * @param instance other instance
   * @param present requests by endpoint
   */
  public void peerPresent(InstanceId instance, Map<EndpointId, Integer> present) {
    dispatcher.peerPresent(instance, present);
  }

  /**
   * Counts own requests at endpoints.
   *
   * @return requests by endpoint; endpoints without any are left out
   */
  public Map<EndpointId, Integer> ownPresent() {
    return dispatcher.ownPresent();
  }

  /**
   * Tells whether there are endpoints to relay to.
   *
   * @return whether an endpoint is listed that takes requests
   */
  public boolean hasEndpoints() {
    return dispatcher.hasEndpoints();
  }

  /** Begins a planned stop: each answer from now on is the last one on its connection. */
  public void beginStop() {
    server.withMaxKeepAliveRequests(1);
  }

  /**
   * Refuses requests that come from now on, and closes idle connections: what is begun so late
   * might not end in time.
   */
  public void refuseNew() {
    servlet.refuseNew();
    server.withKeepAliveTimeout(Duration.ZERO);
  }

  /**
   * Tells whether a stop would cut no answer.
   *
   * @return whether no request is being served
   */
  public boolean isIdle() {
    return !connections.isBusy();
  }

  /** Closes the listening socket and all connections. */
  public void close() {
    probe.cancel();
    acceptor.close();
    connections.closeAll();
  }

  private void apply(RoutingPlan plan) {
    if (!servlet.isRefusing()) {
      server.withKeepAliveTimeout(plan.limits().idleTimeout());
    }
  }

  private long headerTimeoutMillis() {
    return services
        .plans()
        .current()
        .map(RoutingPlan::limits)
        .map(CallerLimits::headerTimeout)
        .map(Duration::toMillis)
        .orElse(HEADER_TIMEOUT_MILLIS_WITHOUT_PLAN);
  }

  private static ByteBuffer malformedAnswer(Exception thrown, byte[] received) {
    return ByteBuffer.wrap(
        "HTTP/1.1 400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
            .getBytes(StandardCharsets.US_ASCII));
  }
}
