package org.snipewick.request.http;

import static java.util.Objects.requireNonNull;

import com.codahale.metrics.MetricRegistry;
import io.activej.eventloop.Eventloop;
import io.activej.net.PrimaryServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.function.Function;
import java.util.function.Supplier;
import org.snipewick.endpoint.EndpointClients;
import org.snipewick.endpoint.http.HttpEngineClient;
import org.snipewick.endpoint.http.HttpServiceClient;
import org.snipewick.event.EventLog;
import org.snipewick.identity.RequestId;
import org.snipewick.request.InFlight;
import org.snipewick.request.RequestPipeline;
import org.snipewick.time.TimerService;

/** HTTP server for callers: one event loop accepts connections, and several serve them. */
public final class CallerServer implements AutoCloseable {
  private static final Duration CONNECTION_PROBE_PERIOD = Duration.ofMillis(250);

  private final Dependencies dependencies;
  private final InetSocketAddress address;
  private final EventloopThread acceptorThread;
  private final PrimaryServer primaryServer;
  private final List<CallerWorker> workers;
  private final TimerService.Subscription connectionProbe;

  private CallerServer(
      Dependencies dependencies, InetSocketAddress address, List<CallerWorker> workers) {
    this.dependencies = dependencies;
    this.address = address;
    this.workers = workers;
    this.acceptorThread = EventloopThread.start("callers-acceptor");
    this.primaryServer =
        PrimaryServer.create(
                acceptorThread.eventloop(),
                workers.stream().map(CallerWorker::connections).toList())
            .withListenAddress(address);
    this.connectionProbe =
        dependencies
            .timer()
            .every(
                CONNECTION_PROBE_PERIOD,
                () -> workers.forEach(worker -> worker.probe(dependencies.timer())));
  }

  /**
   * Starts a server on its own event loops.
   *
   * @param dependencies settings and collaborators of the server
   * @return running server
   * @throws IOException if the address cannot be bound
   */
  public static CallerServer listen(Dependencies dependencies) throws IOException {
    return listen(dependencies, CallerServer::httpClients);
  }

  /**
   * Starts a server that sends requests with the given endpoint clients.
   *
   * @param dependencies settings and collaborators of the server
   * @param clients creates the endpoint clients for an event loop
   * @return running server
   * @throws IOException if the address cannot be bound
   */
  static CallerServer listen(
      Dependencies dependencies, Function<Eventloop, EndpointClients> clients) throws IOException {
    requireNonNull(dependencies, "dependencies");
    InetSocketAddress address = resolvePort(dependencies.settings().bind());
    List<CallerWorker> workers = new ArrayList<>();
    for (int index = 0; index < dependencies.settings().workers(); index++) {
      workers.add(CallerWorker.start("callers-" + index, dependencies, clients));
    }
    CallerServer server = new CallerServer(dependencies, address, workers);
    try {
      server.acceptorThread.eventloop().submit(server.primaryServer::listen).join();
    } catch (CompletionException failed) {
      server.close();
      throw new IOException("cannot listen on " + address, failed.getCause());
    }
    return server;
  }

  /**
   * Returns the TCP port that the server listens on.
   *
   * @return port number, never 0
   */
  public int port() {
    return address.getPort();
  }

  /**
   * Stops the server gracefully. The health check fails at once, new calls are served until the
   * load balancer has had time to notice it, and calls in flight are finished before their
   * connections are closed.
   *
   * @param balancerDelay time after which the load balancer sends no more calls
   * @return future that completes when the last response is written and all connections are closed
   */
  public CompletableFuture<Void> stop(Duration balancerDelay) {
    return dependencies
        .inFlight()
        .stop(balancerDelay)
        .thenCompose(drained -> closeAfterResponses());
  }

  private CompletableFuture<Void> closeAfterResponses() {
    return acceptorThread
        .eventloop()
        .submit(primaryServer::close)
        .thenCompose(closed -> onAllWorkers(worker -> worker.awaitIdle(dependencies.timer())))
        .thenCompose(written -> stopEventLoops());
  }

  private CompletableFuture<Void> stopEventLoops() {
    connectionProbe.cancel();
    return CompletableFuture.allOf(
        acceptorThread.stop(primaryServer::close), onAllWorkers(CallerWorker::close));
  }

  private CompletableFuture<Void> onAllWorkers(
      Function<CallerWorker, CompletableFuture<Void>> action) {
    return CompletableFuture.allOf(
        workers.stream().map(action).toArray(CompletableFuture<?>[]::new));
  }

  /**
   * Starts to close all connections and stop all event loops, without waiting for calls in flight.
   */
  @Override
  public void close() {
    CompletableFuture<Void> unused = stopEventLoops();
  }

  private static EndpointClients httpClients(Eventloop eventloop) {
    return new EndpointClients(HttpEngineClient.of(eventloop), HttpServiceClient.of(eventloop));
  }

  /** Replaces port 0 by a port that is free now. */
  private static InetSocketAddress resolvePort(InetSocketAddress bind) throws IOException {
    if (bind.getPort() != 0) {
      return bind;
    }
    try (ServerSocket free = new ServerSocket(0, 1, bind.getAddress())) {
      return new InetSocketAddress(bind.getAddress(), free.getLocalPort());
    }
  }

  /**
   * Settings and collaborators of the server.
   *
   * @param settings settings of the server
   * @param requestPipeline chains of filters that process requests
   * @param inFlight counter of the calls in flight
   * @param timer clock and timers
   * @param log event log
   * @param metrics metrics of the instance
   * @param requestIds supplies a new identifier for each call
   */
  public record Dependencies(
      CallerServerSettings settings,
      RequestPipeline requestPipeline,
      InFlight inFlight,
      TimerService timer,
      EventLog log,
      MetricRegistry metrics,
      Supplier<RequestId> requestIds) {

    /** Throws {@link NullPointerException} if a component is null. */
    public Dependencies {
      requireNonNull(settings, "settings");
      requireNonNull(requestPipeline, "requestPipeline");
      requireNonNull(inFlight, "inFlight");
      requireNonNull(timer, "timer");
      requireNonNull(log, "log");
      requireNonNull(metrics, "metrics");
      requireNonNull(requestIds, "requestIds");
    }
  }
}
