package org.snipewick.endpoint;

import java.util.concurrent.CompletableFuture;

/** Receiver of the events of a stream, in order. */
@FunctionalInterface
public interface EventReceiver {

  /**
   * Receives the next event.
   *
   * @param event event, which may be the terminator
   * @return completes when the next event may be delivered (back-pressure)
   */
  CompletableFuture<Void> onEvent(StreamEvent event);
}
