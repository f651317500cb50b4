package org.snipewick.request.http;

import static java.util.Objects.requireNonNull;

import io.activej.eventloop.Eventloop;
import java.util.concurrent.CompletableFuture;
import org.snipewick.transport.EventloopTimerService;

/** Event loop that runs on its own daemon thread. */
final class EventloopThread {
  private final Eventloop eventloop;
  private final CompletableFuture<Void> ended = new CompletableFuture<>();

  private EventloopThread(Eventloop eventloop) {
    this.eventloop = eventloop;
  }

  /**
   * Starts an event loop on a new thread.
   *
   * @param name name of the thread
   * @return running event loop
   */
  static EventloopThread start(String name) {
    Eventloop eventloop = EventloopTimerService.monotonicEventloop();
    eventloop.keepAlive(true);
    EventloopThread started = new EventloopThread(eventloop);
    Thread thread = new Thread(started::run, requireNonNull(name, "name"));
    thread.setDaemon(true);
    thread.start();
    return started;
  }

  /**
   * Returns the event loop.
   *
   * @return event loop that runs on the thread
   */
  Eventloop eventloop() {
    return eventloop;
  }

  /**
   * Runs a final task on the event loop and stops the loop. Calling it again has no effect.
   *
   * @param finalTask task that closes the servers and connections of the loop
   * @return future that completes when the task has run and the loop has released its closed
   *     sockets
   */
  CompletableFuture<Void> stop(Runnable finalTask) {
    requireNonNull(finalTask, "finalTask");
    eventloop.execute(
        () -> {
          finalTask.run();
          eventloop.keepAlive(false);
          eventloop.breakEventloop();
        });
    return ended;
  }

  private void run() {
    try {
      eventloop.run();
    } finally {
      ended.complete(null);
    }
  }
}
