package org.snipewick.request.http;

import static java.util.Objects.requireNonNull;

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
import org.snipewick.request.RequestPath;
import org.snipewick.time.TimerService;

/** The callers' HTTP front: one event loop that accepts, and several that serve. */
public final class CallerServer implements AutoCloseable {
  private static final Duration PROBE_PERIOD = Duration.ofMillis(250);

  private final Parts parts;
  private final InetSocketAddress address;
  private final EventloopThread acceptor;
  private final PrimaryServer primary;
  private final List<CallerWorker> workers;
  private final TimerService.Subscription probe;

  private CallerServer(Parts parts, InetSocketAddress address, List<CallerWorker> workers) {
    this.parts = parts;
    this.address = address;
    this.workers = workers;
    this.acceptor = EventloopThread.start("callers-acceptor");
    this.primary =
        PrimaryServer.create(
                acceptor.eventloop(), workers.stream().map(CallerWorker::connections).toList())
            .withListenAddress(address);
    this.probe =
        parts
            .timer()
            .every(PROBE_PERIOD, () -> workers.forEach(worker -> worker.probe(parts.timer())));
  }

  /**
   * Starts to serve callers.
   *
   * @param parts what the front needs
   * @return running front
   * @throws IOException if the address cannot be bound
   */
  public static CallerServer listen(Parts parts) throws IOException {
    return listen(parts, CallerServer::httpClients);
  }

  /**
   * Starts to serve callers with clients of its own choice.
   *
   * @param parts what the front needs
   * @param clients makes the clients of endpoints for an event loop
   * @return running front
   * @throws IOException if the address cannot be bound
   */
  static CallerServer listen(Parts parts, Function<Eventloop, EndpointClients> clients)
      throws IOException {
    requireNonNull(parts, "parts");
    InetSocketAddress address = withPort(parts.settings().bind());
    List<CallerWorker> workers = new ArrayList<>();
    for (int index = 0; index < parts.settings().workers(); index++) {
      workers.add(CallerWorker.start("callers-" + index, parts, clients));
    }
    CallerServer server = new CallerServer(parts, address, workers);
    try {
      server.acceptor.eventloop().submit(server.primary::listen).join();
    } catch (CompletionException failed) {
      server.close();
      throw new IOException("cannot listen on " + address, failed.getCause());
    }
    return server;
  }

  /**
   * Returns the port.
   *
   * @return port that is listened on
   */
  public int port() {
    return address.getPort();
  }

  /**
   * Stops as planned: health is false at once, calls are still served until the balancer has seen
   * it, and what is in flight then is finished before the connections are closed.
   *
   * @param balancerDelay how long the balancer needs to send nothing more
   * @return completes when the last answer is written and all connections are closed
   */
  public CompletableFuture<Void> stop(Duration balancerDelay) {
    return parts.inFlight().stop(balancerDelay).thenCompose(drained -> finish());
  }

  private CompletableFuture<Void> finish() {
    return acceptor
        .eventloop()
        .submit(primary::close)
        .thenCompose(closed -> ofAllWorkers(worker -> worker.finish(parts.timer())))
        .thenCompose(written -> end());
  }

  private CompletableFuture<Void> end() {
    probe.cancel();
    return CompletableFuture.allOf(
        acceptor.stop(primary::close), ofAllWorkers(CallerWorker::close));
  }

  private CompletableFuture<Void> ofAllWorkers(
      Function<CallerWorker, CompletableFuture<Void>> action) {
    return CompletableFuture.allOf(
        workers.stream().map(action).toArray(CompletableFuture<?>[]::new));
  }

  /** Begins to end all event loops at once, whatever is in flight. */
  @Override
  public void close() {
    CompletableFuture<Void> unused = end();
  }

  private static EndpointClients httpClients(Eventloop eventloop) {
    return new EndpointClients(HttpEngineClient.of(eventloop), HttpServiceClient.of(eventloop));
  }

  private static InetSocketAddress withPort(InetSocketAddress bind) throws IOException {
    if (bind.getPort() != 0) {
      return bind;
    }
    try (ServerSocket free = new ServerSocket(0, 1, bind.getAddress())) {
      return new InetSocketAddress(bind.getAddress(), free.getLocalPort());
    }
  }

  /**
   * What the callers' front needs.
   *
   * @param settings settings
   * @param path path of the requests
   * @param inFlight counter of the calls in flight
   * @param timer source of time
   * @param log event log
   * @param identifiers gives each call its identifier
   */
  public record Parts(
      CallerServerSettings settings,
      RequestPath path,
      InFlight inFlight,
      TimerService timer,
      EventLog log,
      Supplier<RequestId> identifiers) {

    /** Checks the parts. */
    public Parts {
      requireNonNull(settings, "settings");
      requireNonNull(path, "path");
      requireNonNull(inFlight, "inFlight");
      requireNonNull(timer, "timer");
      requireNonNull(log, "log");
      requireNonNull(identifiers, "identifiers");
    }
  }
}
