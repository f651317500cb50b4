package org.snipewick.relay;

import static java.util.Objects.requireNonNull;

import io.activej.bytebuf.ByteBuf;
import io.activej.csp.ChannelSupplier;
import io.activej.csp.ChannelSuppliers;
import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import java.util.Optional;
import org.snipewick.identity.PoolName;
import org.snipewick.placement.Ended;
import org.snipewick.time.TimerService;

/** Passes streams of endpoints on to callers, and resumes them elsewhere. On one event loop. */
final class StreamDispatch {
  private final Calls calls;
  private final RelayRecords records;
  private final TimerService timer;

  StreamDispatch(Calls calls, RelayRecords records, TimerService timer) {
    this.calls = requireNonNull(calls, "calls");
    this.records = requireNonNull(records, "records");
    this.timer = requireNonNull(timer, "timer");
  }

  /** What becomes of the calls whose streams these are. */
  interface Calls {

    /** Takes that an attempt broke before its answer began. */
    void broke(RelayCall call, RelayAttempt attempt, String detail);

    /** Takes that an answer was delivered whole. */
    void succeed(RelayCall call, int status);

    /** Gives back all that a call holds. */
    void end(RelayCall call);

    /** Tells whether a request may be sent once more, and counts it as a repeat if so. */
    boolean mayRepeat(RelayCall call);

    /** Sends a request once more. */
    void repeat(RelayCall call, RelayAttempt failed, String detail);

    /** Places requests for which a place may have become free. */
    void decide(PoolName pool);
  }

  /** Passes a stream on; the response begins with the first bytes, as until then it may fail. */
  void passOn(
      RelayCall call, RelayAttempt attempt, EndpointHead head, ChannelSupplier<ByteBuf> body) {
    body.get()
        .run(
            (first, thrown) -> {
              if (call.isOver()) {
                attempt.cancel(timer.nanoTime());
              } else if (thrown != null) {
                calls.broke(call, attempt, thrown.toString());
              } else {
                attempt.promptRead();
                ChannelSupplier<ByteBuf> all =
                    first == null ? body : ChannelSuppliers.concat(ChannelSupplier.of(first), body);
                begin(call, attempt, head, all);
              }
            });
  }

  private void begin(
      RelayCall call, RelayAttempt attempt, EndpointHead head, ChannelSupplier<ByteBuf> body) {
    Optional<SettablePromise<ChannelSupplier<ByteBuf>>> resumption = call.takeResumption();
    if (resumption.isPresent()) {
      resumption.get().set(body);
      return;
    }
    records.firstEvent(call, timer.nanoTime());
    RelayStream stream = new RelayStream(call.route().isResumable(), timer, listener(call, head));
    stream.readFrom(body);
    call.streaming(stream);
    call.response().trySet(RelayResponses.streamed(head.status(), head.headers(), stream));
  }

  private RelayStream.Listener listener(RelayCall call, EndpointHead head) {
    return new RelayStream.Listener() {
      @Override
      public void whole() {
        call.attempt()
            .ifPresent(
                attempt -> {
                  attempt.streamed(call.stream().flatMap(RelayStream::nanosPerPiece));
                  attempt.end(Ended.ANSWERED, timer.nanoTime());
                });
        calls.succeed(call, head.status());
        calls.decide(call.pool());
      }

      @Override
      public Promise<ChannelSupplier<ByteBuf>> resume(Exception thrown) {
        return resumeElsewhere(call, thrown);
      }

      @Override
      public void closed() {
        if (!call.isOver()) {
          records.streamBroken(call, timer.nanoTime());
          calls.end(call);
        }
      }
    };
  }

  private Promise<ChannelSupplier<ByteBuf>> resumeElsewhere(RelayCall call, Exception thrown) {
    Optional<RelayAttempt> broken = call.attempt();
    broken.ifPresent(attempt -> attempt.end(Ended.FAILED, timer.nanoTime()));
    if (call.isOver() || broken.isEmpty() || !calls.mayRepeat(call)) {
      return Promise.ofException(thrown);
    }
    SettablePromise<ChannelSupplier<ByteBuf>> resumption = new SettablePromise<>();
    call.awaitResumption(resumption);
    calls.repeat(call, broken.get(), "stream broke off: " + thrown);
    return resumption;
  }
}
