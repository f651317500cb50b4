package org.snipewick.request;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import org.snipewick.endpoint.Completeness;
import org.snipewick.endpoint.EndpointAnswer;
import org.snipewick.endpoint.EngineCall;
import org.snipewick.endpoint.EngineClient;
import org.snipewick.endpoint.StreamEvent;
import org.snipewick.event.EventType;
import org.snipewick.failure.Failure;
import org.snipewick.failure.FailureType;
import org.snipewick.failure.Outcome;
import org.snipewick.pool.WorkEvent;
import org.snipewick.time.TimerService;

/** Dispatches a model request whose answer is streamed, and resumes the stream where it breaks. */
final class StreamDispatch {
  private static final int MAX_RESUMES = 3;
  private static final Duration RESUME_DELAY = Duration.ofMillis(50);
  private static final CompletableFuture<Void> READY = CompletableFuture.completedFuture(null);

  private final ActiveDispatch dispatch;
  private final EngineCall call;
  private final EngineClient engines;
  private final AnswerStream stream;
  private final TimerService timer;
  private final AtomicInteger received = new AtomicInteger();
  private volatile boolean finished;
  private int resumes;

  private StreamDispatch(
      ActiveDispatch dispatch, EngineCall call, AnswerStream stream, TimerService timer) {
    this.dispatch = dispatch;
    this.call = call;
    this.engines = dispatch.context().clients().engines();
    this.stream = stream;
    this.timer = timer;
  }

  /** Dispatches a request; the answer is there with the first event. */
  static CompletableFuture<Answer> toEngine(
      ActiveDispatch dispatch, EngineCall call, AnswerStream stream, TimerService timer) {
    StreamDispatch streamed = new StreamDispatch(dispatch, call, stream, timer);
    streamed.start();
    return dispatch.answer();
  }

  private void start() {
    Futures.whenDone(engines.stream(call, this::onEvent), this::onEnd);
    Futures.whenResult(dispatch.context().lifecycle().abandonment(), this::abandoned);
  }

  private CompletableFuture<Void> onEvent(StreamEvent event) {
    if (dispatch.isEnded()) {
      return READY;
    }
    if (event.isDone()) {
      onTerminator(event);
      return READY;
    }
    int number = received.incrementAndGet();
    finished = finished || Completeness.isFinish(event);
    if (number == 1) {
      dispatch.firstToken();
      dispatch.answer().complete(Answer.streamed(stream));
    }
    dispatch.context().permit().progress(number);
    return stream.add(event.text());
  }

  private void onTerminator(StreamEvent event) {
    if (!finished) {
      broken(ActiveDispatch.incomplete("stream was terminated before its answer was finished"));
    } else if (dispatch.complete(received.get())) {
      stream.endWith(event.text(), Ending.complete(received.get()));
    }
  }

  private void onEnd(Optional<EndpointAnswer> instead, Failure failure) {
    if (dispatch.isEnded()) {
      return;
    }
    if (failure != null) {
      onFailure(failure);
    } else {
      instead.ifPresent(this::onWhole);
    }
  }

  private void onWhole(EndpointAnswer whole) {
    if (whole.isSuccess() && !Completeness.isComplete(whole.body())) {
      broken(ActiveDispatch.incomplete("answer of the engine is not complete"));
    } else {
      dispatch.completeWhole(whole, Completeness.outputTokens(whole.body()));
    }
  }

  private void onFailure(Failure failure) {
    if (failure.outcome() == Outcome.NOT_RUN) {
      dispatch.notDispatched(failure);
    } else if (failure.type() == FailureType.NOT_FOUND || resumes >= MAX_RESUMES) {
      broken(
          ActiveDispatch.incomplete("stream broke and could not be resumed: " + failure.detail()));
    } else {
      resumes++;
      timer.after(RESUME_DELAY.multipliedBy(resumes), this::resume);
    }
  }

  private void resume() {
    if (dispatch.isEnded()) {
      return;
    }
    dispatch.record(
        EventType.STREAM_RESUMED, Map.of("receivedEvents", received.get(), "attempt", resumes));
    Futures.whenDone(
        engines.resume(call, received.get(), this::onEvent),
        (done, failure) -> onEnd(Optional.empty(), failure));
  }

  private void abandoned(Failure reason) {
    end(WorkEvent.Result.CANCELLED, reason);
  }

  private void broken(Failure failure) {
    end(WorkEvent.Result.BROKEN, failure);
  }

  /** Ends an incomplete answer: a stream that has begun says so by its last event. */
  private void end(WorkEvent.Result result, Failure reason) {
    Failure failure = ActiveDispatch.unknown(reason);
    if (dispatch.fail(result, received.get(), failure)) {
      engines.cancel(call);
      boolean dispatched = dispatch.context().lifecycle().isDispatched();
      stream.endWith(
          ProblemText.event(failure, dispatched), Ending.failed(received.get(), failure));
    }
  }
}
