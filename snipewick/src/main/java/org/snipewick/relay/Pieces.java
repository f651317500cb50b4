package org.snipewick.relay;

import io.activej.bytebuf.ByteBuf;
import io.activej.promise.Promise;
import java.util.function.Supplier;

/** Reads bodies piece by piece. */
final class Pieces {
  private Pieces() {}

  /** Handles the outcome of one read. */
  @FunctionalInterface
  interface Handler {

    /**
     * Handles a piece, the end or a failure.
     *
     * @param piece next bytes; null at the end or after a failure
     * @param thrown failure; null if there is none
     * @return whether the next piece is to be read
     */
    boolean handle(ByteBuf piece, Exception thrown);
  }

  /**
   * Reads as long as the handler asks for it. Reads that are complete at once are handled in a
   * loop, as nested promises would overflow the stack if there are many pieces.
   */
  static void read(Supplier<Promise<ByteBuf>> source, Handler handler) {
    boolean readsOn = true;
    while (readsOn) {
      Promise<ByteBuf> next = source.get();
      if (!next.isComplete()) {
        next.run(
            (piece, thrown) -> {
              if (handler.handle(piece, thrown)) {
                read(source, handler);
              }
            });
        return;
      }
      readsOn = handler.handle(next.getResult(), next.getException());
    }
  }
}
