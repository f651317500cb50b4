package org.snipewick.request;

import java.util.concurrent.CompletableFuture;
import org.snipewick.endpoint.Completeness;
import org.snipewick.endpoint.EndpointAnswer;
import org.snipewick.endpoint.EngineCall;
import org.snipewick.endpoint.ServiceCall;
import org.snipewick.failure.Failure;
import org.snipewick.failure.Outcome;
import org.snipewick.pool.WorkEvent;

/** Dispatches calls whose answers come in one piece. */
final class WholeDispatch {
  private final ActiveDispatch dispatch;

  private WholeDispatch(ActiveDispatch dispatch) {
    this.dispatch = dispatch;
  }

  /** Dispatches a model request. */
  static CompletableFuture<Answer> toEngine(ActiveDispatch dispatch, EngineCall call) {
    WholeDispatch whole = new WholeDispatch(dispatch);
    CallContext context = dispatch.context();
    Futures.whenDone(context.clients().engines().call(call), whole::engineAnswered);
    Futures.whenResult(
        context.lifecycle().abandonment(),
        reason -> {
          if (dispatch.fail(WorkEvent.Result.CANCELLED, 0, reason)) {
            context.clients().engines().cancel(call);
          }
        });
    return dispatch.answer();
  }

  /** Dispatches a call to a plain service, which cannot be cancelled there. */
  static CompletableFuture<Answer> toService(ActiveDispatch dispatch, ServiceCall call) {
    WholeDispatch whole = new WholeDispatch(dispatch);
    CallContext context = dispatch.context();
    Futures.whenDone(context.clients().services().call(call), whole::serviceAnswered);
    Futures.whenResult(
        context.lifecycle().abandonment(),
        reason -> dispatch.fail(WorkEvent.Result.CANCELLED, 0, reason));
    return dispatch.answer();
  }

  private void engineAnswered(EndpointAnswer answer, Failure failure) {
    if (failure != null) {
      failed(failure);
    } else if (answer.isSuccess() && !Completeness.isComplete(answer.body())) {
      failed(ActiveDispatch.incomplete("answer of the engine is not complete"));
    } else {
      firstToken();
      dispatch.completeWhole(answer, Completeness.outputTokens(answer.body()));
    }
  }

  private void serviceAnswered(EndpointAnswer answer, Failure failure) {
    if (failure != null) {
      failed(failure);
    } else {
      firstToken();
      dispatch.completeWhole(answer, 0);
    }
  }

  private void firstToken() {
    if (!dispatch.isEnded()) {
      dispatch.firstToken();
    }
  }

  private void failed(Failure failure) {
    if (failure.outcome() == Outcome.NOT_RUN) {
      dispatch.notDispatched(failure);
    } else {
      dispatch.fail(WorkEvent.Result.BROKEN, 0, failure);
    }
  }
}
