package org.snipewick.request;

import static java.util.Objects.requireNonNull;

import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import org.snipewick.endpoint.EndpointResponse;
import org.snipewick.event.EventLog;
import org.snipewick.event.EventType;
import org.snipewick.failure.Failure;
import org.snipewick.failure.FailureType;
import org.snipewick.failure.Outcome;
import org.snipewick.pool.WorkEvent;

/**
 * One dispatch of a call to an endpoint, from the use of its permit to its end. It ends once:
 * anything that is received afterwards, such as the answer to a cancelled request, is dropped.
 */
final class ActiveDispatch {
  private final CallContext context;
  private final EventLog log;
  private final AtomicBoolean ended = new AtomicBoolean();
  private final CompletableFuture<Answer> answer = new CompletableFuture<>();

  private ActiveDispatch(CallContext context, EventLog log) {
    this.context = context;
    this.log = log;
  }

  static ActiveDispatch of(CallContext context, EventLog log) {
    return new ActiveDispatch(requireNonNull(context, "context"), requireNonNull(log, "log"));
  }

  CallContext context() {
    return context;
  }

  CompletableFuture<Answer> answer() {
    return answer;
  }

  boolean isEnded() {
    return ended.get();
  }

  void record(EventType type, Map<String, Object> details) {
    log.record(type, context.id().toString(), details);
  }

  /** Reports to the scheduler and the event log that the first part of the answer has arrived. */
  void recordFirstToken() {
    context.permit().reportFirstToken();
    record(EventType.FIRST_TOKEN, endpointDetails());
  }

  /** Ends the dispatch with a complete answer; returns false if it had ended before. */
  boolean complete(int outputTokens) {
    if (!end(WorkEvent.Result.COMPLETE, outputTokens)) {
      return false;
    }
    record(EventType.ANSWER_COMPLETE, Map.of("outputTokens", outputTokens));
    return true;
  }

  /** Ends the dispatch with a whole answer of the endpoint, unless it had ended before. */
  void completeWhole(EndpointResponse whole, int outputTokens) {
    if (complete(outputTokens)) {
      answer.complete(
          Answer.whole(whole.status(), whole.contentType(), whole.body(), outputTokens));
    }
  }

  /**
   * Ends a dispatch that did not run, because nothing was sent or the endpoint rejected the request
   * before running it. Has no effect on a dispatch that has ended.
   */
  void failNotDispatched(Failure failure) {
    if (ended.compareAndSet(false, true)) {
      context.lifecycle().revertDispatch();
      context.permit().finish(WorkEvent.Result.NOT_DISPATCHED, 0);
      answer.completeExceptionally(abandonmentReasonOr(failure).toException());
    }
  }

  /** Ends the dispatch without a complete answer; returns false if it had ended before. */
  boolean fail(WorkEvent.Result result, int outputTokens, Failure failure) {
    if (!end(result, outputTokens)) {
      return false;
    }
    answer.completeExceptionally(withUnknownOutcome(failure).toException());
    return true;
  }

  static Failure withUnknownOutcome(Failure failure) {
    return failure.withOutcome(Outcome.UNKNOWN);
  }

  static Failure incompleteAnswer(String detail) {
    return Failure.unknown(FailureType.ANSWER_INCOMPLETE, detail);
  }

  private Map<String, Object> endpointDetails() {
    return Map.of("endpoint", context.permit().endpoint().id().toString());
  }

  /**
   * Returns the reason why the call was abandoned, or the given failure if it was not. An abandoned
   * call must fail with that reason, not because its endpoint rejected it.
   */
  private Failure abandonmentReasonOr(Failure failure) {
    return context.lifecycle().abandonment().getNow(failure).withOutcome(Outcome.NOT_RUN);
  }

  private boolean end(WorkEvent.Result result, int outputTokens) {
    if (!ended.compareAndSet(false, true)) {
      return false;
    }
    context.permit().finish(result, outputTokens);
    return true;
  }
}
