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
 * Body of a response that passes the events of an endpoint on as they arrive. If the stream may be
 * resumed, it is cut at whole events, and goes on with that of another endpoint if one breaks off.
 */
final class RelayStream extends AbstractChannelSupplier<ByteBuf> {
  /** Fewer pieces say more of the prompts that came between them than of the endpoint. */
  private static final int PIECES_FOR_PACE = 8;

  private final TimerService timer;
  private final Listener listener;
  private final Optional<EventSplitter> events;
  private ChannelSupplier<ByteBuf> source;
  private boolean isOver;
  private int pieces;
  private long firstPieceNanos;
  private long lastPieceNanos;

  RelayStream(boolean resumable, TimerService timer, Listener listener) {
    this.timer = requireNonNull(timer, "timer");
    this.listener = requireNonNull(listener, "listener");
    this.events = resumable ? Optional.of(new EventSplitter()) : Optional.empty();
  }

  /** Follows a stream for the call that it belongs to. */
  interface Listener {

    /** Notes that the endpoint's stream has ended as it should. */
    void whole();

    /**
     * Finds another endpoint that goes on.
     *
     * @param thrown how the stream broke off
     * @return the rest of the stream; fails if there is none
     */
    Promise<ChannelSupplier<ByteBuf>> resume(Exception thrown);

    /** Notes that the caller no longer reads, or that nothing more can be sent. */
    void closed();
  }

  /** Sets the endpoint's stream. */
  void readFrom(ChannelSupplier<ByteBuf> body) {
    source = requireNonNull(body, "body");
  }

  /** Returns the identifier of the last event that was passed on. */
  Optional<String> lastEventId() {
    return events.flatMap(EventSplitter::lastId);
  }

  @Override
  protected Promise<ByteBuf> doGet() {
    return source.get().then(this::pass, this::broke);
  }

  /** Returns the mean time of a piece in nanoseconds; empty after too few of them. */
  Optional<Double> nanosPerPiece() {
    return pieces < PIECES_FOR_PACE
        ? Optional.empty()
        : Optional.of((double) (lastPieceNanos - firstPieceNanos) / (pieces - 1));
  }

  private Promise<ByteBuf> pass(ByteBuf buffer) {
    if (buffer == null) {
      return ended();
    }
    lastPieceNanos = timer.nanoTime();
    if (pieces == 0) {
      firstPieceNanos = lastPieceNanos;
    }
    pieces++;
    if (events.isEmpty()) {
      return Promise.of(buffer);
    }
    byte[] whole = events.get().feed(buffer.asArray());
    return whole.length == 0 ? doGet() : Promise.of(ByteBuf.wrapForReading(whole));
  }

  private Promise<ByteBuf> ended() {
    if (events.isPresent() && events.get().isInsideEvent()) {
      return broke(new IllegalStateException("stream ended inside an event"));
    }
    isOver = true;
    listener.whole();
    return Promise.of(null);
  }

  private Promise<ByteBuf> broke(Exception thrown) {
    if (isOver || events.isEmpty()) {
      return fail(thrown);
    }
    events.get().dropPending();
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
   * Ends the body by a failure of its own type: the HTTP server takes a framing fault that it meets
   * for one of the caller's and would answer it in the middle of this body.
   */
  private Promise<ByteBuf> fail(Exception thrown) {
    FailureException failure =
        Failure.unknown(FailureType.ANSWER_INCOMPLETE, "endpoint's stream broke off: " + thrown)
            .toException();
    closeEx(failure);
    return Promise.ofException(failure);
  }

  @Override
  protected void onClosed(Exception thrown) {
    if (!isOver) {
      isOver = true;
      source.closeEx(thrown);
      listener.closed();
    }
  }
}
