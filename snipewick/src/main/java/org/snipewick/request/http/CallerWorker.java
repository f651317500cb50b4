package org.snipewick.request.http;

import io.activej.eventloop.Eventloop;
import io.activej.http.AsyncHttpServer;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import org.snipewick.endpoint.EndpointClients;
import org.snipewick.failure.Failure;
import org.snipewick.failure.FailureException;
import org.snipewick.time.TimerService;
import org.snipewick.transport.CallerConnections;

/** One event loop that serves callers. */
final class CallerWorker {
  private static final Duration FINISH_PERIOD = Duration.ofMillis(20);
  private static final Duration LONGEST_RESPONSE = Duration.ofMinutes(11);

  private final EventloopThread thread;
  private final Eventloop eventloop;
  private final CallerConnections connections;

  private CallerWorker(EventloopThread thread, CallerConnections connections) {
    this.thread = thread;
    this.eventloop = thread.eventloop();
    this.connections = connections;
  }

  static CallerWorker start(
      String name, CallerServer.Parts parts, Function<Eventloop, EndpointClients> clients) {
    EventloopThread thread = EventloopThread.start(name);
    Eventloop eventloop = thread.eventloop();
    CallerConnections connections =
        CallerConnections.of(
            eventloop, parts.settings().headerTimeout()::toMillis, MalformedRequests::response);
    CallerServlet servlet = new CallerServlet(parts, clients.apply(eventloop), connections);
    AsyncHttpServer server =
        AsyncHttpServer.create(eventloop, servlet)
            .withReadWriteTimeout(LONGEST_RESPONSE, LONGEST_RESPONSE)
            .withServeTimeoutShutdown(LONGEST_RESPONSE)
            .withHttpErrorFormatter(CallerWorker::formatException)
            .withInspector(connections);
    connections.setServer(server);
    return new CallerWorker(thread, connections);
  }

  CallerConnections connections() {
    return connections;
  }

  /** Looks at the connections if there are any; a loop without connections is not woken. */
  void probe(TimerService timer) {
    if (!connections.isEmpty()) {
      eventloop.execute(() -> connections.probe(timer.nanoTime()));
    }
  }

  /** Waits until all responses are written; no connection may be accepted any more. */
  CompletableFuture<Void> finish(TimerService timer) {
    CompletableFuture<Void> finished = new CompletableFuture<>();
    eventloop.execute(() -> finishUnlessBusy(timer, finished));
    return finished;
  }

  /** Closes all connections and ends the event loop; completes when they are closed. */
  CompletableFuture<Void> close() {
    return thread.stop(connections::closeAll);
  }

  private void finishUnlessBusy(TimerService timer, CompletableFuture<Void> finished) {
    if (connections.isBusy()) {
      timer.after(FINISH_PERIOD, () -> eventloop.execute(() -> finishUnlessBusy(timer, finished)));
    } else {
      finished.complete(null);
    }
  }

  private static io.activej.http.HttpResponse formatException(Exception thrown) {
    Failure failure = FailureException.unwrap(thrown);
    return Responses.problem(Optional.empty(), failure, true);
  }
}
