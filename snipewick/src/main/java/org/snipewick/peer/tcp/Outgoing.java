package org.snipewick.peer.tcp;

import static java.util.Objects.requireNonNull;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicReference;
import org.snipewick.failure.Failure;
import org.snipewick.failure.FailureType;
import org.snipewick.failure.Outcome;
import org.snipewick.peer.PeerMessage;

/** Encoded frame on its way to a connection, with the future of its answer. */
final class Outgoing {
  static final long NO_CALL = -1;

  private final long callId;
  private final byte[] bytes;
  private final CompletableFuture<PeerMessage> answer;
  private final AtomicReference<Progress> progress = new AtomicReference<>(Progress.QUEUED);

  private Outgoing(long callId, byte[] bytes, CompletableFuture<PeerMessage> answer) {
    this.callId = callId;
    this.bytes = requireNonNull(bytes, "bytes");
    this.answer = requireNonNull(answer, "answer");
  }

  static Outgoing call(long callId, byte[] bytes) {
    return new Outgoing(callId, bytes, new CompletableFuture<>());
  }

  static Outgoing send(byte[] bytes) {
    return new Outgoing(NO_CALL, bytes, new CompletableFuture<>());
  }

  long callId() {
    return callId;
  }

  boolean isCall() {
    return callId != NO_CALL;
  }

  byte[] bytes() {
    return bytes;
  }

  CompletableFuture<PeerMessage> answer() {
    return answer;
  }

  /** Takes the frame up for writing; false if it was given up before. */
  boolean startWriting() {
    return progress.compareAndSet(Progress.QUEUED, Progress.WRITTEN);
  }

  /** Gives the frame up; the outcome tells whether it can have reached the peer. */
  void fail(String detail) {
    boolean neverWritten =
        progress.compareAndSet(Progress.QUEUED, Progress.GIVEN_UP)
            || progress.get() == Progress.GIVEN_UP;
    Outcome outcome = neverWritten ? Outcome.NOT_RUN : Outcome.UNKNOWN;
    answer.completeExceptionally(
        Failure.notRun(FailureType.PEER_UNAVAILABLE, detail).withOutcome(outcome).toException());
  }

  private enum Progress {
    QUEUED,
    WRITTEN,
    GIVEN_UP
  }
}
