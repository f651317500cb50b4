package org.snipewick.request.http;

import io.activej.eventloop.Eventloop;
import io.activej.http.AsyncHttpServer;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import org.snipewick.body.RequestBodies;
import org.snipewick.endpoint.EndpointClients;
import org.snipewick.event.CountedEvent;
import org.snipewick.event.EventType;
import org.snipewick.failure.Failure;
import org.snipewick.failure.FailureException;
import org.snipewick.memory.MemoryAccount;
import org.snipewick.time.TimerService;
import org.snipewick.transport.CallerConnections;
import org.snipewick.transport.ConnectionLimit;
import org.snipewick.transport.EventloopTimerService;

/** Event loop that serves callers, with its HTTP server and connections. */
final class CallerWorker {
  private static final Duration IDLE_CHECK_PERIOD = Duration.ofMillis(20);

  /** Longer than the longest request timeout, which is 10 minutes. */
  private static final Duration MAX_RESPONSE_TIME = Duration.ofMinutes(11);

  /** A buffer that grows holds up to three times its bytes for a moment. */
  private static final int HEAP_DIVISOR_FOR_BODIES = 5;

  private final EventloopThread thread;
  private final Eventloop eventloop;
  private final CallerConnections connections;

  private CallerWorker(EventloopThread thread, CallerConnections connections) {
    this.thread = thread;
    this.eventloop = thread.eventloop();
    this.connections = connections;
  }

  /** Starts a worker on a new thread. */
  static CallerWorker start(
      String name,
      CallerServer.Dependencies dependencies,
      Function<Eventloop, EndpointClients> clients) {
    EventloopThread thread = EventloopThread.start(name);
    Eventloop eventloop = thread.eventloop();
    CallerConnections connections =
        CallerConnections.of(
            eventloop,
            dependencies.settings().headerTimeout()::toMillis,
            MalformedRequests::response);
    connections.setLimit(
        ConnectionLimit.ofProcess().divide(dependencies.settings().workers()),
        event(EventType.CONNECTIONS_LIMITED, "callers_connections_limited", dependencies)::record);
    CallerServlet servlet =
        new CallerServlet(
            dependencies, clients.apply(eventloop), connections, bodies(eventloop, dependencies));
    AsyncHttpServer server =
        AsyncHttpServer.create(eventloop, servlet)
            .withReadWriteTimeout(MAX_RESPONSE_TIME, MAX_RESPONSE_TIME)
            .withServeTimeoutShutdown(MAX_RESPONSE_TIME)
            .withHttpErrorFormatter(CallerWorker::formatException)
            .withInspector(connections);
    connections.setServer(server);
    return new CallerWorker(thread, connections);
  }

  private static RequestBodies bodies(Eventloop eventloop, CallerServer.Dependencies dependencies) {
    long limitBytes =
        Runtime.getRuntime().maxMemory()
            / HEAP_DIVISOR_FOR_BODIES
            / dependencies.settings().workers();
    return new RequestBodies(
        MemoryAccount.of(limitBytes, eventloop::post),
        EventloopTimerService.of(eventloop),
        event(EventType.BODY_GAVE_WAY, "callers_bodies_gave_way", dependencies)::record);
  }

  private static CountedEvent event(
      EventType type, String counter, CallerServer.Dependencies dependencies) {
    return new CountedEvent(
        type, dependencies.log(), dependencies.timer(), dependencies.metrics().counter(counter));
  }

  CallerConnections connections() {
    return connections;
  }

  /** Probes the open connections; does not wake up an event loop that has none. */
  void probe(TimerService timer) {
    if (!connections.isEmpty()) {
      eventloop.execute(() -> connections.probe(timer.nanoTime()));
    }
  }

  /**
   * Returns a future that completes when all responses are written. The acceptor must be closed
   * before, so that no connection is added.
   */
  CompletableFuture<Void> awaitIdle(TimerService timer) {
    CompletableFuture<Void> finished = new CompletableFuture<>();
    eventloop.execute(() -> completeWhenIdle(timer, finished));
    return finished;
  }

  /** Closes all connections and stops the event loop; completes when the loop has released them. */
  CompletableFuture<Void> close() {
    return thread.stop(connections::closeAll);
  }

  private void completeWhenIdle(TimerService timer, CompletableFuture<Void> finished) {
    if (connections.isBusy()) {
      timer.after(
          IDLE_CHECK_PERIOD, () -> eventloop.execute(() -> completeWhenIdle(timer, finished)));
    } else {
      finished.complete(null);
    }
  }

  private static io.activej.http.HttpResponse formatException(Exception thrown) {
    Failure failure = FailureException.unwrap(thrown);
    return Responses.problem(Optional.empty(), failure, true);
  }
}
