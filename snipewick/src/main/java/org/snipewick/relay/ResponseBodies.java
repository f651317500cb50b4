package org.snipewick.relay;

import static java.util.Objects.requireNonNull;

import io.activej.bytebuf.ByteBuf;
import io.activej.csp.ChannelSupplier;
import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import java.io.ByteArrayOutputStream;
import org.snipewick.failure.Failure;
import org.snipewick.failure.FailureType;
import org.snipewick.memory.MemoryAccount;

/**
 * Buffers the bodies of responses that are not streamed. Bounds each body and, by the account, the
 * memory of all, as an endpoint in trouble may send a body without end. Used on one event loop
 * only.
 */
final class ResponseBodies {
  /** Maximum size of one body; a response with a larger one counts as failed. */
  static final int MAX_BODY_BYTES = 8 * 1024 * 1024;

  private final MemoryAccount memory;

  ResponseBodies(MemoryAccount memory) {
    this.memory = requireNonNull(memory, "memory");
  }

  /**
   * Reads a body to its end.
   *
   * @param body body of a response, which is closed if it cannot be kept
   * @return all bytes; fails if the body breaks off, or with a {@link
   *     org.snipewick.failure.FailureException} if it cannot be kept
   */
  Promise<byte[]> read(ChannelSupplier<ByteBuf> body) {
    Reception reception = new Reception(body);
    Pieces.read(body::get, reception::handle);
    return reception.result;
  }

  /** Reception of one body. */
  private final class Reception {
    private final ChannelSupplier<ByteBuf> body;
    private final SettablePromise<byte[]> result = new SettablePromise<>();
    private final MemoryAccount.Holder holder = memory.open(this::evicted);
    private ByteArrayOutputStream received = new ByteArrayOutputStream();

    Reception(ChannelSupplier<ByteBuf> body) {
      this.body = requireNonNull(body, "body");
    }

    boolean handle(ByteBuf piece, Exception thrown) {
      if (result.isComplete()) {
        return false;
      }
      try {
        if (thrown != null) {
          fail(thrown);
        } else if (piece == null) {
          byte[] whole = received.toByteArray();
          end();
          result.set(whole);
        } else {
          keep(piece.asArray());
        }
      } catch (OutOfMemoryError exhausted) {
        cannotKeep("heap is exhausted");
      }
      return !result.isComplete();
    }

    private void keep(byte[] bytes) {
      if (received.size() + bytes.length > MAX_BODY_BYTES) {
        cannotKeep("body is larger than " + MAX_BODY_BYTES + " bytes");
      } else if (!holder.tryAdd(bytes.length)) {
        cannotKeep("body uses most of the memory for bodies and events");
      } else {
        received.writeBytes(bytes);
      }
    }

    private void evicted() {
      cannotKeep("body used most of the memory for bodies and events");
    }

    private void cannotKeep(String reason) {
      if (!result.isComplete()) {
        fail(Failure.unknown(FailureType.ANSWER_INCOMPLETE, reason).toException());
      }
    }

    private void fail(Exception thrown) {
      end();
      body.closeEx(thrown);
      result.trySetException(thrown);
    }

    private void end() {
      holder.close();
      received = new ByteArrayOutputStream(0);
    }
  }
}
