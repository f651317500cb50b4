package org.snipewick.request;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import org.snipewick.endpoint.EndpointResponse;
import org.snipewick.endpoint.EngineCall;
import org.snipewick.endpoint.EngineClient;
import org.snipewick.endpoint.EngineResponses;
import org.snipewick.endpoint.StreamEvent;
import org.snipewick.event.EventType;
import org.snipewick.failure.Failure;
import org.snipewick.failure.FailureType;
import org.snipewick.failure.Outcome;
import org.snipewick.pool.WorkEvent;
import org.snipewick.time.TimerService;

/** Dispatches a model request with a streamed answer, and resumes the stream if it breaks off. */
final class StreamDispatch {
  private static final int MAX_RESUME_ATTEMPTS = 3;

  /** Delay before the first attempt to resume; the n-th attempt waits n times as long. */
  private static final Duration RESUME_DELAY = Duration.ofMillis(50);

  private static final CompletableFuture<Void> READY = CompletableFuture.completedFuture(null);

  private final ActiveDispatch dispatch;
  private final EngineCall call;
  private final EngineClient engines;
  private final AnswerStream stream;
  private final TimerService timer;

  /** Number of events received, also reported as the number of output tokens. */
  private final AtomicInteger receivedEvents = new AtomicInteger();

  private volatile boolean finishReasonSeen;
  private int resumeAttempts;

  private StreamDispatch(
      ActiveDispatch dispatch, EngineCall call, AnswerStream stream, TimerService timer) {
    this.dispatch = dispatch;
    this.call = call;
    this.engines = dispatch.context().clients().engines();
    this.stream = stream;
    this.timer = timer;
  }

  /**
   * Dispatches a request; the answer completes at its first event, or when it is received whole.
   */
  static CompletableFuture<Answer> toEngine(
      ActiveDispatch dispatch, EngineCall call, AnswerStream stream, TimerService timer) {
    StreamDispatch streamed = new StreamDispatch(dispatch, call, stream, timer);
    streamed.start();
    return dispatch.answer();
  }

  private void start() {
    Futures.whenDone(engines.stream(call, this::onEvent), this::onEnd);
    Futures.whenResult(dispatch.context().lifecycle().abandonment(), this::onAbandoned);
  }

  private CompletableFuture<Void> onEvent(StreamEvent event) {
    if (dispatch.isEnded()) {
      return READY;
    }
    if (event.isDone()) {
      onTerminator(event);
      return READY;
    }
    int eventCount = receivedEvents.incrementAndGet();
    finishReasonSeen = finishReasonSeen || EngineResponses.hasFinishReason(event);
    if (eventCount == 1) {
      dispatch.recordFirstToken();
      dispatch.answer().complete(Answer.streamed(stream));
    }
    dispatch.context().permit().reportProgress(eventCount);
    return stream.add(event.text());
  }

  private void onTerminator(StreamEvent event) {
    if (!finishReasonSeen) {
      endBroken(ActiveDispatch.incompleteAnswer("stream was terminated without a finish reason"));
    } else if (dispatch.complete(receivedEvents.get())) {
      stream.endWith(event.text(), Ending.complete(receivedEvents.get()));
    }
  }

  private void onEnd(Optional<EndpointResponse> wholeAnswer, Failure failure) {
    if (dispatch.isEnded()) {
      return;
    }
    if (failure != null) {
      onFailure(failure);
    } else {
      wholeAnswer.ifPresent(this::onWholeAnswer);
    }
  }

  private void onWholeAnswer(EndpointResponse whole) {
    if (whole.isSuccess() && !EngineResponses.isComplete(whole.body())) {
      endBroken(ActiveDispatch.incompleteAnswer("answer of the engine is incomplete"));
    } else {
      dispatch.completeWhole(whole, EngineResponses.outputTokens(whole.body()));
    }
  }

  private void onFailure(Failure failure) {
    if (failure.outcome() == Outcome.NOT_RUN) {
      dispatch.failNotDispatched(failure);
    } else if (failure.type() == FailureType.NOT_FOUND || resumeAttempts >= MAX_RESUME_ATTEMPTS) {
      endBroken(
          ActiveDispatch.incompleteAnswer(
              "stream broke off and could not be resumed: " + failure.detail()));
    } else {
      resumeAttempts++;
      timer.after(RESUME_DELAY.multipliedBy(resumeAttempts), this::resume);
    }
  }

  private void resume() {
    if (dispatch.isEnded()) {
      return;
    }
    dispatch.record(
        EventType.STREAM_RESUMED,
        Map.of("receivedEvents", receivedEvents.get(), "attempt", resumeAttempts));
    Futures.whenDone(
        engines.resume(call, receivedEvents.get(), this::onEvent),
        (done, failure) -> onEnd(Optional.empty(), failure));
  }

  private void onAbandoned(Failure reason) {
    end(WorkEvent.Result.CANCELLED, reason);
  }

  private void endBroken(Failure failure) {
    end(WorkEvent.Result.BROKEN, failure);
  }

  /** Ends an incomplete answer; the last event of a stream that has begun reports the failure. */
  private void end(WorkEvent.Result result, Failure reason) {
    Failure failure = ActiveDispatch.withUnknownOutcome(reason);
    if (dispatch.fail(result, receivedEvents.get(), failure)) {
      engines.cancel(call);
      boolean dispatched = dispatch.context().lifecycle().isDispatched();
      stream.endWith(
          ProblemText.event(failure, dispatched), Ending.failed(receivedEvents.get(), failure));
    }
  }
}
