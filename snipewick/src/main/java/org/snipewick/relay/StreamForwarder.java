package org.snipewick.relay;

import static java.util.Objects.requireNonNull;

import io.activej.bytebuf.ByteBuf;
import io.activej.csp.ChannelSupplier;
import io.activej.csp.ChannelSuppliers;
import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import java.util.Optional;
import org.snipewick.identity.PoolName;
import org.snipewick.memory.MemoryAccount;
import org.snipewick.placement.AttemptResult;
import org.snipewick.time.TimerService;

/**
 * Forwards streams of endpoints to callers, and resumes broken ones at another endpoint. Used on
 * one event loop only.
 */
final class StreamForwarder {
  private final CallHandler callHandler;
  private final RelayTelemetry telemetry;
  private final TimerService timer;
  private final MemoryAccount memory;

  StreamForwarder(
      CallHandler callHandler, RelayTelemetry telemetry, TimerService timer, MemoryAccount memory) {
    this.callHandler = requireNonNull(callHandler, "callHandler");
    this.telemetry = requireNonNull(telemetry, "telemetry");
    this.timer = requireNonNull(timer, "timer");
    this.memory = requireNonNull(memory, "memory");
  }

  /** Handles the outcomes of calls and of their attempts. */
  interface CallHandler {

    /** Runs a step of a call; if it throws, the call ends, but nothing else does. */
    void runGuarded(RelayCall call, Runnable step);

    /** Handles the first event of a stream; another attempt of the call is cancelled. */
    void responded(RelayCall call, RelayAttempt attempt);

    /** Handles an attempt whose connection ended before the body of its response began. */
    void responseBroken(RelayCall call, RelayAttempt attempt, Exception thrown);

    /** Records that the connection of an attempt ended before its response was complete. */
    void recordBrokenResponse(RelayCall call, RelayAttempt attempt, Exception thrown);

    /** Ends a call whose response was delivered completely. */
    void succeed(RelayCall call, int status);

    /** Ends a call and frees all its resources. */
    void end(RelayCall call);

    /** Returns whether a request may be retried; if so, counts it against the retry budget. */
    boolean tryAcquireRetry(RelayCall call);

    /** Queues a request again, to be sent to another endpoint. */
    void retry(RelayCall call, RelayAttempt failed, String detail);

    /** Places waiting requests of a pool after slots may have become free. */
    void decidePlacement(PoolName pool);
  }

  /**
   * Forwards a stream. The response to the caller starts when the first bytes arrive; an attempt
   * that fails before can still be retried.
   */
  void forward(
      RelayCall call,
      RelayAttempt attempt,
      EndpointResponseHead head,
      ChannelSupplier<ByteBuf> body) {
    body.get()
        .run(
            (first, thrown) ->
                callHandler.runGuarded(
                    call, () -> firstRead(call, attempt, head, body, first, thrown)));
  }

  private void firstRead(
      RelayCall call,
      RelayAttempt attempt,
      EndpointResponseHead head,
      ChannelSupplier<ByteBuf> body,
      ByteBuf first,
      Exception thrown) {
    if (call.isFinished() || attempt.hasEnded()) {
      attempt.cancel(timer.nanoTime());
    } else if (thrown != null) {
      callHandler.responseBroken(call, attempt, thrown);
    } else if (first != null && !first.canRead()) {
      first.recycle();
      forward(call, attempt, head, body);
    } else if (first == null && !head.isDelimited()) {
      callHandler.responseBroken(
          call, attempt, new IllegalStateException("stream ended before its first event"));
    } else {
      attempt.advance(RelayAttempt.Progress.BODY);
      attempt.endPrefill();
      callHandler.responded(call, attempt);
      attempt.firstEventReceived(timer.nanoTime());
      ChannelSupplier<ByteBuf> all =
          first == null ? body : ChannelSuppliers.concat(ChannelSupplier.of(first), body);
      begin(call, head, all);
    }
  }

  /** Returns whether a response continues the stream of a call rather than another content. */
  static boolean isSameContent(RelayCall call, EndpointResponseHead head) {
    return call.stream().map(stream -> stream.mediaType().equals(head.mediaType())).orElse(true);
  }

  private void begin(RelayCall call, EndpointResponseHead head, ChannelSupplier<ByteBuf> body) {
    Optional<SettablePromise<ChannelSupplier<ByteBuf>>> resumption = call.takeResumption();
    if (resumption.isPresent()) {
      resumption.get().set(body);
      return;
    }
    telemetry.firstEventReceived(call, timer.nanoTime());
    RelayStream stream =
        new RelayStream(
            call.route().isResumable(), head.mediaType(), timer, memory, listener(call, head));
    stream.readFrom(body);
    call.setStream(stream);
    call.response().trySet(RelayResponses.streamed(head.status(), head.headers(), stream));
  }

  private RelayStream.Listener listener(RelayCall call, EndpointResponseHead head) {
    return new RelayStream.Listener() {
      @Override
      public void onComplete() {
        Optional<RelayAttempt> attempt = call.attempt();
        Steps.runAll(
            () -> attempt.ifPresent(answered -> recordAnswered(call, answered)),
            () -> callHandler.succeed(call, head.status()),
            () -> callHandler.decidePlacement(call.pool()));
      }

      @Override
      public void onBroken(Exception thrown) {
        call.attempt()
            .ifPresent(attempt -> callHandler.recordBrokenResponse(call, attempt, thrown));
      }

      @Override
      public Promise<ChannelSupplier<ByteBuf>> resume(Exception thrown) {
        return resumeAtAnotherEndpoint(call, thrown);
      }

      @Override
      public void onClosed() {
        if (!call.isFinished()) {
          Steps.runAll(
              () -> telemetry.streamBroken(call, timer.nanoTime()), () -> callHandler.end(call));
        }
      }
    };
  }

  private void recordAnswered(RelayCall call, RelayAttempt attempt) {
    long now = timer.nanoTime();
    Steps.runAll(
        () -> attempt.recordChunkTime(call.stream().flatMap(RelayStream::nanosPerChunk), now),
        () -> attempt.end(AttemptResult.ANSWERED, now));
  }

  private Promise<ChannelSupplier<ByteBuf>> resumeAtAnotherEndpoint(
      RelayCall call, Exception thrown) {
    Optional<RelayAttempt> broken = call.attempt();
    broken.ifPresent(attempt -> attempt.end(AttemptResult.FAILED, timer.nanoTime()));
    if (call.isFinished() || broken.isEmpty() || !callHandler.tryAcquireRetry(call)) {
      return Promise.ofException(thrown);
    }
    SettablePromise<ChannelSupplier<ByteBuf>> resumption = new SettablePromise<>();
    call.setResumption(resumption);
    callHandler.retry(call, broken.get(), "stream broke off: " + thrown);
    return resumption;
  }
}
