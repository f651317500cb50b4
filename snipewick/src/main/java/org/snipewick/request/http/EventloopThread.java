package org.snipewick.request.http;

import static java.util.Objects.requireNonNull;

import io.activej.eventloop.Eventloop;
import java.util.concurrent.CompletableFuture;

/** Event loop on a daemon thread of its own. */
final class EventloopThread {
  private final Eventloop eventloop;
  private final CompletableFuture<Void> ended = new CompletableFuture<>();

  private EventloopThread(Eventloop eventloop) {
    this.eventloop = eventloop;
  }

  /**
   * Starts an event loop.
   *
   * @param name name of its thread
   * @return running event loop
   */
  static EventloopThread start(String name) {
    Eventloop eventloop = Eventloop.create();
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
   * @return event loop that the thread runs
   */
  Eventloop eventloop() {
    return eventloop;
  }

  /**
   * Runs a last task on the event loop and ends the loop. Calling it again has no effect.
   *
   * @param last task that closes what the loop serves
   * @return completes when the last task has run and the loop has let go of its closed sockets
   */
  CompletableFuture<Void> stop(Runnable last) {
    requireNonNull(last, "last");
    eventloop.execute(
        () -> {
          last.run();
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
