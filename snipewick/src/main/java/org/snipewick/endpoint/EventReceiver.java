package org.snipewick.endpoint;

import java.util.concurrent.CompletableFuture;

/** Receives the events of a streamed answer in their order. */
@FunctionalInterface
public interface EventReceiver {

  /**
   * Takes the next event.
   *
   * @param event event, the terminator included
   * @return completes when the next event may be read
   */
  CompletableFuture<Void> onEvent(StreamEvent event);
}
