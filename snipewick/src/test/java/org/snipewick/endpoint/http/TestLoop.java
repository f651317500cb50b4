package org.snipewick.endpoint.http;

import io.activej.eventloop.Eventloop;

/** Event loop on a separate thread. */
public record TestLoop(Eventloop eventloop) implements AutoCloseable {

  /** Starts an event loop. */
  public static TestLoop start() {
    Eventloop eventloop = Eventloop.create();
    eventloop.keepAlive(true);
    Thread thread = new Thread(eventloop, "test-loop");
    thread.setDaemon(true);
    thread.start();
    return new TestLoop(eventloop);
  }

  @Override
  public void close() {
    eventloop.execute(eventloop::breakEventloop);
  }
}
