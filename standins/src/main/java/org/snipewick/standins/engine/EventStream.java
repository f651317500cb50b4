package org.snipewick.standins.engine;

import io.activej.bytebuf.ByteBuf;
import io.activej.bytebuf.ByteBufStrings;
import io.activej.csp.AbstractChannelSupplier;
import io.activej.http.HttpException;
import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import org.snipewick.standins.engine.Generation.Fate;
import org.snipewick.standins.server.Connection;

/** Sends the events of a request to a caller as they come. */
final class EventStream extends AbstractChannelSupplier<ByteBuf> {
  private final Generation generation;
  private final Connection connection;
  private final int breakAfter;
  private int position;
  private int sent;
  private boolean detached;

  EventStream(Generation generation, Connection connection, int position, int breakAfter) {
    this.generation = generation;
    this.connection = connection;
    this.position = position;
    this.breakAfter = breakAfter;
  }

  /** Ends this stream; returns whether it had not ended by itself before. */
  boolean detach() {
    boolean attached = !detached;
    detached = true;
    return attached;
  }

  @Override
  protected Promise<ByteBuf> doGet() {
    if (detached) {
      return cut();
    }
    if (breakAfter > 0 && sent >= breakAfter && position < generation.events().size()) {
      detached = true;
      generation.fate(Fate.BROKEN);
      return cut();
    }
    if (position < generation.events().size()) {
      sent++;
      String event = generation.events().get(position++);
      return Promise.of(ByteBufStrings.wrapUtf8("data: " + event + "\n\n"));
    }
    if (generation.isFinished()) {
      detached = true;
      generation.fate(Fate.COMPLETED);
      return Promise.of(null);
    }
    if (generation.fate() == Fate.CANCELLED) {
      return cut();
    }
    SettablePromise<ByteBuf> next = new SettablePromise<>();
    generation.listen(() -> doGet().run(next::accept));
    return next;
  }

  private Promise<ByteBuf> cut() {
    connection.abort();
    return Promise.ofException(new HttpException("stream broken off"));
  }
}
