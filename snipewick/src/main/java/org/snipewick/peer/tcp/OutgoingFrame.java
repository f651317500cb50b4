package org.snipewick.peer.tcp;

import static java.util.Objects.requireNonNull;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicReference;
import org.snipewick.failure.Failure;
import org.snipewick.failure.FailureType;
import org.snipewick.failure.Outcome;
import org.snipewick.peer.PeerMessage;

/**
 * Encoded frame to be written to a connection, with the future of its reply. It is either written
 * or abandoned before it is written. Thread-safe.
 */
final class OutgoingFrame {
  static final long NO_CALL_ID = -1;

  private final long callId;
  private final byte[] bytes;
  private final CompletableFuture<PeerMessage> reply;
  private final AtomicReference<Progress> progress = new AtomicReference<>(Progress.QUEUED);

  private OutgoingFrame(long callId, byte[] bytes, CompletableFuture<PeerMessage> reply) {
    this.callId = callId;
    this.bytes = requireNonNull(bytes, "bytes");
    this.reply = requireNonNull(reply, "reply");
  }

  /** Returns the frame of a call, which expects a reply. */
  static OutgoingFrame call(long callId, byte[] bytes) {
    return new OutgoingFrame(callId, bytes, new CompletableFuture<>());
  }

  /** Returns a frame that expects no reply. */
  static OutgoingFrame send(byte[] bytes) {
    return new OutgoingFrame(NO_CALL_ID, bytes, new CompletableFuture<>());
  }

  /** Returns the identifier of the call, {@link #NO_CALL_ID} if no reply is expected. */
  long callId() {
    return callId;
  }

  /** Returns whether a reply is expected. */
  boolean isCall() {
    return callId != NO_CALL_ID;
  }

  /** Returns the encoded frame without its length prefix. */
  byte[] bytes() {
    return bytes;
  }

  /** Returns the future of the reply. */
  CompletableFuture<PeerMessage> reply() {
    return reply;
  }

  /** Marks the frame as written. Returns false if it was abandoned or marked before. */
  boolean startWriting() {
    return progress.compareAndSet(Progress.QUEUED, Progress.WRITTEN);
  }

  /**
   * Fails the reply and abandons the frame if it has not been written. The outcome is {@link
   * Outcome#NOT_RUN} if it cannot have reached the peer, else {@link Outcome#UNKNOWN}.
   */
  void fail(String detail) {
    boolean neverWritten =
        progress.compareAndSet(Progress.QUEUED, Progress.ABANDONED)
            || progress.get() == Progress.ABANDONED;
    Outcome outcome = neverWritten ? Outcome.NOT_RUN : Outcome.UNKNOWN;
    reply.completeExceptionally(
        Failure.notRun(FailureType.PEER_UNAVAILABLE, detail).withOutcome(outcome).toException());
  }

  private enum Progress {
    QUEUED,
    WRITTEN,
    ABANDONED
  }
}
