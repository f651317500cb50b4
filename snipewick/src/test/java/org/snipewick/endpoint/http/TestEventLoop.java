package org.snipewick.endpoint.http;

import io.activej.eventloop.Eventloop;

/** Event loop on a separate thread. */
public record TestEventLoop(Eventloop eventloop) implements AutoCloseable {

  /** Starts an event loop. */
  public static TestEventLoop start() {
    Eventloop eventloop = Eventloop.create();
    eventloop.keepAlive(true);
    Thread thread = new Thread(eventloop, "test-loop");
    thread.setDaemon(true);
    thread.start();
    return new TestEventLoop(eventloop);
  }

  @Override
  public void close() {
    eventloop.execute(eventloop::breakEventloop);
  }
}
