package org.snipewick.body;

import static java.util.Objects.requireNonNull;

import io.activej.bytebuf.ByteBuf;
import io.activej.csp.ChannelSupplier;
import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import java.time.Duration;
import java.util.Arrays;
import org.snipewick.failure.Failure;
import org.snipewick.failure.FailureType;
import org.snipewick.memory.MemoryAccount;
import org.snipewick.time.TimerService;

/**
 * Buffers the bodies of requests. Answers a load of many large bodies: they share a part of the
 * memory account, so that requests with small ones are served meanwhile. Bodies take turns, see
 * {@link BodyTurns}. Used on one event loop only.
 */
public final class RequestBodies {
  /** Size from which a body counts as large. */
  static final int LARGE_BODY_BYTES = 64 * 1024;

  /** Time in which endpoints answer a few requests, so that memory becomes free. */
  private static final Duration RETRY_AFTER = Duration.ofMillis(500);

  private static final byte[] NO_BYTES = new byte[0];

  private final MemoryAccount memory;
  private final IncompleteBodies incomplete;
  private final BodyTurns turns;

  /**
   * Creates a buffer of bodies.
   *
   * @param memory account of the bytes that are kept
   * @param timer source of time, on the event loop of the bodies
   * @param onGaveWay listener to bodies that lost their bytes before they were complete
   */
  public RequestBodies(MemoryAccount memory, TimerService timer, Runnable onGaveWay) {
    this.memory = requireNonNull(memory, "memory");
    incomplete = new IncompleteBodies(memory, timer, onGaveWay);
    turns = new BodyTurns(timer);
  }

  /**
   * Reads a body to its end. One that cannot be kept is discarded as it arrives, as callers read
   * the response only when they have sent the body.
   *
   * @param body body of a request
   * @param declaredBytes size that the request states; 0 if it states none
   * @param maxBytes maximum size
   * @param onProgress listener to the arrival of a further part of the body
   * @return kept body; fails if it breaks off, with a {@link BodyTooLargeException}, or with a
   *     {@link org.snipewick.failure.FailureException} if it cannot be kept
   */
  public Promise<KeptBody> read(
      ChannelSupplier<ByteBuf> body, long declaredBytes, int maxBytes, Runnable onProgress) {
    Reception reception = new Reception(body, new KeptBody(memory), maxBytes, onProgress);
    if (declaredBytes <= maxBytes) {
      reception.reserve(declaredBytes);
    }
    reception.readOn();
    return reception.result;
  }

  /**
   * Returns the failure of a request whose body cannot be kept.
   *
   * @return refusal of a request that has not run
   */
  public static Failure cannotKeep() {
    return Failure.notRun(FailureType.SHED, "no memory for the body of the request")
        .withRetryAfter(RETRY_AFTER);
  }

  /** Reception of one body. */
  private final class Reception {
    private final ChannelSupplier<ByteBuf> source;
    private final KeptBody kept;
    private final int maxBytes;
    private final Runnable onProgress;
    private final IncompleteBodies.Body share = incomplete.open(this::discard);
    private final BodyTurns.Reader reader = turns.newReader();
    private final SettablePromise<KeptBody> result = new SettablePromise<>();
    private long receivedBytes;
    private boolean isDiscarded;

    Reception(ChannelSupplier<ByteBuf> source, KeptBody kept, int maxBytes, Runnable onProgress) {
      this.source = source;
      this.kept = kept;
      this.maxBytes = maxBytes;
      this.onProgress = onProgress;
      kept.onEvicted(this::discard);
    }

    /**
     * Reads until the body ends, a piece has not arrived yet or the next one is due in a later
     * turn. Pieces that are there at once are handled in a loop, as nested promises would overflow
     * the stack if there are many.
     */
    void readOn() {
      while (!result.isComplete() && reader.tryNext(this::readOn)) {
        Promise<ByteBuf> next = source.get();
        if (!next.isComplete()) {
          next.run(
              (piece, thrown) -> {
                handle(piece, thrown);
                readOn();
              });
          return;
        }
        handle(next.getResult(), next.getException());
      }
    }

    /** Reserves memory for bytes that have not arrived yet. */
    void reserve(long bytes) {
      long missingBytes = bytes - kept.reservedBytes();
      if (missingBytes > 0
          && (!share.tryReserve(missingBytes, bytes > LARGE_BODY_BYTES)
              || !kept.tryReserve(missingBytes))) {
        discard();
      }
    }

    private void handle(ByteBuf piece, Exception thrown) {
      if (thrown != null) {
        discard();
        result.trySetException(thrown);
      } else if (piece == null) {
        end();
      } else {
        accept(piece.asArray());
      }
    }

    private void accept(byte[] bytes) {
      receivedBytes += bytes.length;
      if (share.recordReceived(receivedBytes)) {
        onProgress.run();
      }
      if (receivedBytes > maxBytes) {
        discard();
        result.trySetException(new BodyTooLargeException(maxBytes));
        return;
      }
      try {
        if (!isDiscarded) {
          reserve(receivedBytes);
        }
        if (!isDiscarded) {
          kept.add(bytes);
        }
      } catch (OutOfMemoryError exhausted) {
        discard();
      }
    }

    private void end() {
      share.close();
      if (isDiscarded) {
        result.trySetException(cannotKeep().toException());
      } else {
        result.trySet(kept);
      }
    }

    private void discard() {
      isDiscarded = true;
      share.close();
      kept.close();
    }
  }

  /** Body of a request, which is kept until its call ends. */
  public static final class KeptBody {
    private final MemoryAccount.Holder holder;
    private Runnable onEvicted = () -> {};
    private byte[] buffer = NO_BYTES;
    private int size;

    private KeptBody(MemoryAccount memory) {
      holder = memory.open(() -> onEvicted.run());
    }

    /**
     * Sets the listener that discards the body when it loses its memory.
     *
     * @param listener listener
     */
    public void onEvicted(Runnable listener) {
      onEvicted = requireNonNull(listener, "listener");
    }

    /**
     * Returns the whole body, which is not copied if its size was declared.
     *
     * @return bytes, empty once the body is closed
     */
    public byte[] bytes() {
      if (buffer.length > size) {
        buffer = Arrays.copyOf(buffer, size);
      }
      return buffer;
    }

    /** Records that the body is on its way to an endpoint and can no longer lose its memory. */
    public void pin() {
      holder.pin();
    }

    /** Returns the memory; later calls have no effect. */
    public void close() {
      holder.close();
      buffer = NO_BYTES;
      size = 0;
    }

    private long reservedBytes() {
      return holder.bytes();
    }

    private boolean tryReserve(long additionalBytes) {
      return holder.tryAdd(additionalBytes);
    }

    private void add(byte[] piece) {
      int needed = size + piece.length;
      if (needed > buffer.length) {
        long capacity = Math.max(holder.bytes(), 2L * buffer.length);
        buffer = Arrays.copyOf(buffer, (int) Math.max(needed, capacity));
      }
      System.arraycopy(piece, 0, buffer, size, piece.length);
      size = needed;
    }
  }
}
