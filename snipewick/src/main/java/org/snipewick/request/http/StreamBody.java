package org.snipewick.request.http;

import io.activej.bytebuf.ByteBuf;
import io.activej.csp.AbstractChannelSupplier;
import io.activej.promise.Promise;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.snipewick.request.AnswerStream;

/**
 * Response body that sends the events of a stream. Runs {@code onComplete} when the stream was read
 * to its end, or {@code onAbort} when the body is closed before.
 */
final class StreamBody extends AbstractChannelSupplier<ByteBuf> {
  private final AnswerStream events;
  private final Runnable onComplete;
  private final Runnable onAbort;
  private boolean completed;

  StreamBody(AnswerStream events, Runnable onComplete, Runnable onAbort) {
    this.events = events;
    this.onComplete = onComplete;
    this.onAbort = onAbort;
  }

  @Override
  protected Promise<ByteBuf> doGet() {
    return Promise.ofCompletionStage(events.next()).map(this::toBuffer);
  }

  @Override
  protected void onClosed(Exception thrown) {
    if (!completed) {
      events.cancelReading();
      onAbort.run();
    }
  }

  private ByteBuf toBuffer(Optional<String> event) {
    if (event.isPresent()) {
      return ByteBuf.wrapForReading(event.get().getBytes(StandardCharsets.UTF_8));
    }
    completed = true;
    onComplete.run();
    return null;
  }
}
