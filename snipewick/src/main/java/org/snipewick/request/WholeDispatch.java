package org.snipewick.request;

import java.util.concurrent.CompletableFuture;
import org.snipewick.endpoint.EndpointResponse;
import org.snipewick.endpoint.EngineCall;
import org.snipewick.endpoint.EngineResponses;
import org.snipewick.endpoint.ServiceCall;
import org.snipewick.failure.Failure;
import org.snipewick.failure.Outcome;
import org.snipewick.pool.WorkEvent;

/** Dispatches calls whose answers are not streamed. */
final class WholeDispatch {
  private final ActiveDispatch dispatch;

  private WholeDispatch(ActiveDispatch dispatch) {
    this.dispatch = dispatch;
  }

  /** Dispatches a model request; cancels it at the engine if the call is abandoned. */
  static CompletableFuture<Answer> toEngine(ActiveDispatch dispatch, EngineCall call) {
    WholeDispatch whole = new WholeDispatch(dispatch);
    CallContext context = dispatch.context();
    Futures.whenDone(context.clients().engines().call(call), whole::onEngineResponse);
    Futures.whenResult(
        context.lifecycle().abandonment(),
        reason -> {
          if (dispatch.fail(WorkEvent.Result.CANCELLED, 0, reason)) {
            context.clients().engines().cancel(call);
          }
        });
    return dispatch.answer();
  }

  /** Dispatches a call to a plain service; services cannot cancel a call. */
  static CompletableFuture<Answer> toService(ActiveDispatch dispatch, ServiceCall call) {
    WholeDispatch whole = new WholeDispatch(dispatch);
    CallContext context = dispatch.context();
    Futures.whenDone(context.clients().services().call(call), whole::onServiceResponse);
    Futures.whenResult(
        context.lifecycle().abandonment(),
        reason -> dispatch.fail(WorkEvent.Result.CANCELLED, 0, reason));
    return dispatch.answer();
  }

  private void onEngineResponse(EndpointResponse response, Failure failure) {
    if (failure != null) {
      onFailure(failure);
    } else if (response.isSuccess() && !EngineResponses.isComplete(response.body())) {
      onFailure(ActiveDispatch.incompleteAnswer("answer of the engine is incomplete"));
    } else {
      recordFirstToken();
      dispatch.completeWhole(response, EngineResponses.outputTokens(response.body()));
    }
  }

  private void onServiceResponse(EndpointResponse response, Failure failure) {
    if (failure != null) {
      onFailure(failure);
    } else {
      recordFirstToken();
      dispatch.completeWhole(response, 0);
    }
  }

  private void recordFirstToken() {
    if (!dispatch.isEnded()) {
      dispatch.recordFirstToken();
    }
  }

  private void onFailure(Failure failure) {
    if (failure.outcome() == Outcome.NOT_RUN) {
      dispatch.failNotDispatched(failure);
    } else {
      dispatch.fail(WorkEvent.Result.BROKEN, 0, failure);
    }
  }
}
