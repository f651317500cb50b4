package org.snipewick.request.http;

import io.activej.bytebuf.ByteBuf;
import io.activej.csp.AbstractChannelSupplier;
import io.activej.promise.Promise;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.snipewick.request.AnswerStream;

/** Body of a response that carries the events of a stream. */
final class StreamBody extends AbstractChannelSupplier<ByteBuf> {
  private final AnswerStream events;
  private final Runnable whenRead;
  private final Runnable whenBroken;
  private boolean read;

  StreamBody(AnswerStream events, Runnable whenRead, Runnable whenBroken) {
    this.events = events;
    this.whenRead = whenRead;
    this.whenBroken = whenBroken;
  }

  @Override
  protected Promise<ByteBuf> doGet() {
    return Promise.ofCompletionStage(events.next()).map(this::toBuffer);
  }

  @Override
  protected void onClosed(Exception thrown) {
    if (!read) {
      events.leave();
      whenBroken.run();
    }
  }

  private ByteBuf toBuffer(Optional<String> event) {
    if (event.isPresent()) {
      return ByteBuf.wrapForReading(event.get().getBytes(StandardCharsets.UTF_8));
    }
    read = true;
    whenRead.run();
    return null;
  }
}
