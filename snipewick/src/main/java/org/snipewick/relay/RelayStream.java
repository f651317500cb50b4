package org.snipewick.relay;

import static java.util.Objects.requireNonNull;

import io.activej.bytebuf.ByteBuf;
import io.activej.csp.AbstractChannelSupplier;
import io.activej.csp.ChannelSupplier;
import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import java.util.Optional;
import org.snipewick.failure.Failure;
import org.snipewick.failure.FailureException;
import org.snipewick.failure.FailureType;
import org.snipewick.memory.MemoryAccount;
import org.snipewick.time.TimerService;

/**
 * Body of a response that forwards the events of an endpoint as they arrive. A stream that ends
 * inside an event has broken off. If the stream is resumable, only complete events are forwarded,
 * and if it breaks off, the rest is read from another endpoint.
 */
final class RelayStream extends AbstractChannelSupplier<ByteBuf> {
  /**
   * Minimum number of chunks for a mean time per chunk. With fewer, the mean depends more on
   * prefills of other requests in between than on the endpoint's speed.
   */
  private static final int MIN_CHUNKS_FOR_MEAN = 8;

  private final Optional<String> mediaType;
  private final TimerService timer;
  private final Listener listener;
  private final Optional<EventSplitter> eventSplitter;
  private final EventBoundary boundary = new EventBoundary();
  private ChannelSupplier<ByteBuf> source;
  private SettablePromise<ByteBuf> read = new SettablePromise<>();
  private boolean isEnded;
  private int chunkCount;
  private long firstChunkNanos;
  private long lastChunkNanos;

  RelayStream(
      boolean resumable,
      Optional<String> mediaType,
      TimerService timer,
      MemoryAccount memory,
      Listener listener) {
    this.mediaType = requireNonNull(mediaType, "mediaType");
    this.timer = requireNonNull(timer, "timer");
    this.listener = requireNonNull(listener, "listener");
    this.eventSplitter =
        resumable
            ? Optional.of(new EventSplitter(memory.open(this::memoryEvicted)))
            : Optional.empty();
  }

  /** Handles the end of a stream and resumes it if it breaks off. */
  interface Listener {

    /** Called when the endpoint's stream is complete. */
    void onComplete();

    /** Called when the endpoint's stream broke off, before it is resumed or the body ends early. */
    void onBroken(Exception thrown);

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

  /** Returns the media type of the first endpoint's response; empty if it stated none. */
  Optional<String> mediaType() {
    return mediaType;
  }

  /** Returns the identifier of the last event that was forwarded; empty if there is none. */
  Optional<String> lastEventId() {
    return eventSplitter.flatMap(EventSplitter::lastId);
  }

  @Override
  protected Promise<ByteBuf> doGet() {
    SettablePromise<ByteBuf> result = new SettablePromise<>();
    read = result;
    readUntilForwarded(result);
    return result;
  }

  /** Breaks the endpoint's stream off, unless its incomplete event has been discarded since. */
  private void memoryEvicted() {
    if (!isEnded && eventSplitter.map(EventSplitter::isEvicted).orElse(false)) {
      source.closeEx(EventSplitter.evicted());
    }
  }

  private void readUntilForwarded(SettablePromise<ByteBuf> result) {
    Pieces.read(() -> source.get(), (piece, thrown) -> !accept(piece, thrown, result));
  }

  /** Returns the mean time per chunk in nanoseconds; empty if there were too few chunks. */
  Optional<Double> nanosPerChunk() {
    return chunkCount < MIN_CHUNKS_FOR_MEAN
        ? Optional.empty()
        : Optional.of((double) (lastChunkNanos - firstChunkNanos) / (chunkCount - 1));
  }

  /** Handles one read; returns false if nothing can be forwarded yet. */
  private boolean accept(ByteBuf buffer, Exception thrown, SettablePromise<ByteBuf> result) {
    try {
      return handleRead(buffer, thrown, result);
    } catch (RuntimeException | Error defect) {
      // Whoever reads this body would otherwise wait until the deadline.
      fail(new IllegalStateException("read failed: " + defect, defect), result);
      return true;
    }
  }

  private boolean handleRead(ByteBuf buffer, Exception thrown, SettablePromise<ByteBuf> result) {
    if (result.isComplete()) {
      return true;
    }
    if (thrown != null) {
      sourceFailed(thrown, result);
      return true;
    }
    if (buffer == null) {
      sourceEnded(result);
      return true;
    }
    lastChunkNanos = timer.nanoTime();
    if (chunkCount == 0) {
      firstChunkNanos = lastChunkNanos;
    }
    chunkCount++;
    byte[] bytes = buffer.asArray();
    if (eventSplitter.isPresent()) {
      return forwardCompleteEvents(eventSplitter.get(), bytes, result);
    }
    for (byte next : bytes) {
      boundary.accept(next);
    }
    result.set(ByteBuf.wrapForReading(bytes));
    return true;
  }

  private boolean forwardCompleteEvents(
      EventSplitter splitter, byte[] bytes, SettablePromise<ByteBuf> result) {
    byte[] complete;
    try {
      complete = splitter.feed(bytes);
    } catch (FailureException cannotKeep) {
      source.closeEx(cannotKeep);
      sourceFailed(cannotKeep, result);
      return true;
    }
    if (complete.length == 0) {
      return false;
    }
    result.set(ByteBuf.wrapForReading(complete));
    return true;
  }

  private void sourceEnded(SettablePromise<ByteBuf> result) {
    if (eventSplitter.map(EventSplitter::isInsideEvent).orElse(boundary.isInsideEvent())) {
      sourceFailed(new IllegalStateException("stream ended inside an event"), result);
      return;
    }
    isEnded = true;
    eventSplitter.ifPresent(EventSplitter::close);
    listener.onComplete();
    result.trySet(null);
  }

  private void sourceFailed(Exception thrown, SettablePromise<ByteBuf> result) {
    if (!isEnded) {
      listener.onBroken(thrown);
    }
    if (isEnded || eventSplitter.isEmpty()) {
      fail(thrown, result);
      return;
    }
    eventSplitter.get().dropPending();
    listener
        .resume(thrown)
        .run(
            (rest, failure) -> {
              if (failure != null) {
                fail(failure, result);
              } else {
                readFrom(rest);
                readUntilForwarded(result);
              }
            });
  }

  /**
   * Ends the body with a {@link FailureException}. The HTTP server would take a framing error of
   * the endpoint's response for one of the caller's request, and write an error response into the
   * middle of this body.
   */
  private void fail(Exception thrown, SettablePromise<ByteBuf> result) {
    FailureException failure =
        Failure.unknown(
                FailureType.ANSWER_INCOMPLETE, "stream of the endpoint broke off: " + thrown)
            .toException();
    closeEx(failure);
    result.trySetException(failure);
  }

  @Override
  protected void onClosed(Exception thrown) {
    eventSplitter.ifPresent(EventSplitter::close);
    boolean endsEarly = !isEnded;
    isEnded = true;
    Steps.runAll(
        () -> {
          if (endsEarly) {
            source.closeEx(thrown);
          }
        },
        () -> {
          if (endsEarly) {
            listener.onClosed();
          }
        },
        // A source whose read has failed with an error never completes it.
        () -> read.trySetException(thrown));
  }
}
