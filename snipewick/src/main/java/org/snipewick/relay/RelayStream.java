package org.snipewick.relay;

import static java.util.Objects.requireNonNull;

import io.activej.bytebuf.ByteBuf;
import io.activej.csp.AbstractChannelSupplier;
import io.activej.csp.ChannelSupplier;
import io.activej.promise.Promise;
import java.util.Optional;
import org.snipewick.failure.Failure;
import org.snipewick.failure.FailureException;
import org.snipewick.failure.FailureType;
import org.snipewick.time.TimerService;

/**
 * Body of a response that forwards the events of an endpoint as they arrive. If the stream is
 * resumable, only complete events are forwarded, and if it breaks off, the rest is read from
 * another endpoint.
 */
final class RelayStream extends AbstractChannelSupplier<ByteBuf> {
  /**
   * Minimum number of chunks for a mean time per chunk. With fewer, the mean depends more on
   * prefills of other requests in between than on the endpoint's speed.
   */
  private static final int MIN_CHUNKS_FOR_MEAN = 8;

  private final TimerService timer;
  private final Listener listener;
  private final Optional<EventSplitter> eventSplitter;
  private ChannelSupplier<ByteBuf> source;
  private boolean isEnded;
  private int chunkCount;
  private long firstChunkNanos;
  private long lastChunkNanos;

  RelayStream(boolean resumable, TimerService timer, Listener listener) {
    this.timer = requireNonNull(timer, "timer");
    this.listener = requireNonNull(listener, "listener");
    this.eventSplitter = resumable ? Optional.of(new EventSplitter()) : Optional.empty();
  }

  /** Handles the end of a stream and resumes it if it breaks off. */
  interface Listener {

    /** Called when the endpoint's stream is complete. */
    void onComplete();

    /**
     * Resumes a broken stream at another endpoint.
     *
     * @param thrown why the stream broke off
     * @return rest of the stream; completes exceptionally if it cannot be resumed
     */
    Promise<ChannelSupplier<ByteBuf>> resume(Exception thrown);

    /**
     * Called when the body ends early, because the caller stopped reading, the stream broke off and
     * was not resumed, or the call failed.
     */
    void onClosed();
  }

  /** Sets the stream of the endpoint that is read from now on. */
  void readFrom(ChannelSupplier<ByteBuf> body) {
    source = requireNonNull(body, "body");
  }

  /** Returns the identifier of the last event that was forwarded; empty if there is none. */
  Optional<String> lastEventId() {
    return eventSplitter.flatMap(EventSplitter::lastId);
  }

  @Override
  protected Promise<ByteBuf> doGet() {
    return source.get().then(this::forward, this::sourceFailed);
  }

  /** Returns the mean time per chunk in nanoseconds; empty if there were too few chunks. */
  Optional<Double> nanosPerChunk() {
    return chunkCount < MIN_CHUNKS_FOR_MEAN
        ? Optional.empty()
        : Optional.of((double) (lastChunkNanos - firstChunkNanos) / (chunkCount - 1));
  }

  private Promise<ByteBuf> forward(ByteBuf buffer) {
    if (buffer == null) {
      return sourceEnded();
    }
    lastChunkNanos = timer.nanoTime();
    if (chunkCount == 0) {
      firstChunkNanos = lastChunkNanos;
    }
    chunkCount++;
    if (eventSplitter.isEmpty()) {
      return Promise.of(buffer);
    }
    byte[] complete = eventSplitter.get().feed(buffer.asArray());
    return complete.length == 0 ? doGet() : Promise.of(ByteBuf.wrapForReading(complete));
  }

  private Promise<ByteBuf> sourceEnded() {
    if (eventSplitter.isPresent() && eventSplitter.get().isInsideEvent()) {
      return sourceFailed(new IllegalStateException("stream ended inside an event"));
    }
    isEnded = true;
    listener.onComplete();
    return Promise.of(null);
  }

  private Promise<ByteBuf> sourceFailed(Exception thrown) {
    if (isEnded || eventSplitter.isEmpty()) {
      return fail(thrown);
    }
    eventSplitter.get().dropPending();
    return listener
        .resume(thrown)
        .then(
            rest -> {
              readFrom(rest);
              return doGet();
            },
            this::fail);
  }

  /**
   * Ends the body with a {@link FailureException}. The HTTP server would take a framing error of
   * the endpoint's response for one of the caller's request, and write an error response into the
   * middle of this body.
   */
  private Promise<ByteBuf> fail(Exception thrown) {
    FailureException failure =
        Failure.unknown(
                FailureType.ANSWER_INCOMPLETE, "stream of the endpoint broke off: " + thrown)
            .toException();
    closeEx(failure);
    return Promise.ofException(failure);
  }

  @Override
  protected void onClosed(Exception thrown) {
    if (!isEnded) {
      isEnded = true;
      source.closeEx(thrown);
      listener.onClosed();
    }
  }
}
