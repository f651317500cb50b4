package org.snipewick.standins.engine;

import io.activej.bytebuf.ByteBuf;
import io.activej.bytebuf.ByteBufStrings;
import io.activej.csp.AbstractChannelSupplier;
import io.activej.http.HttpException;
import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import org.snipewick.standins.engine.Generation.Status;
import org.snipewick.standins.server.Connection;

/** Streams the events of a request to a caller as they are generated. */
final class EventStream extends AbstractChannelSupplier<ByteBuf> {
  private final Generation generation;
  private final Connection connection;
  private final int breakAfterEvents;
  private int nextPosition;
  private int sentEvents;
  private boolean isEnded;

  EventStream(
      Generation generation, Connection connection, int nextPosition, int breakAfterEvents) {
    this.generation = generation;
    this.connection = connection;
    this.nextPosition = nextPosition;
    this.breakAfterEvents = breakAfterEvents;
  }

  /** Ends this stream and returns whether it was still open. */
  boolean end() {
    boolean wasOpen = !isEnded;
    isEnded = true;
    return wasOpen;
  }

  @Override
  protected Promise<ByteBuf> doGet() {
    if (isEnded) {
      return abort();
    }
    if (breakAfterEvents > 0
        && sentEvents >= breakAfterEvents
        && nextPosition < generation.events().size()) {
      isEnded = true;
      generation.setStatus(Status.BROKEN);
      return abort();
    }
    if (nextPosition < generation.events().size()) {
      sentEvents++;
      String event = generation.events().get(nextPosition++);
      return Promise.of(ByteBufStrings.wrapUtf8("data: " + event + "\n\n"));
    }
    if (generation.isFinished()) {
      isEnded = true;
      generation.setStatus(Status.COMPLETED);
      return Promise.of(null);
    }
    if (generation.status() == Status.CANCELLED) {
      return abort();
    }
    SettablePromise<ByteBuf> next = new SettablePromise<>();
    generation.onNextChange(() -> doGet().run(next::accept));
    return next;
  }

  private Promise<ByteBuf> abort() {
    connection.abort();
    return Promise.ofException(new HttpException("stream aborted"));
  }
}
