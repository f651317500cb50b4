package org.snipewick.request;

import static java.util.Objects.requireNonNull;

import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import org.snipewick.endpoint.EndpointAnswer;
import org.snipewick.event.EventLog;
import org.snipewick.event.EventType;
import org.snipewick.failure.Failure;
import org.snipewick.failure.FailureType;
import org.snipewick.failure.Outcome;
import org.snipewick.pool.WorkEvent;

/**
 * One dispatch, from its permission to its end. It ends once: what arrives afterwards, such as the
 * answer to a cancelled request, goes to nobody.
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

  /** Notes the first part of the answer. */
  void firstToken() {
    context.permit().firstToken();
    record(EventType.FIRST_TOKEN, endpointDetail());
  }

  /** Ends the dispatch with a complete answer; false if it had ended before. */
  boolean complete(int outputTokens) {
    if (!end(WorkEvent.Result.COMPLETE, outputTokens)) {
      return false;
    }
    record(EventType.ANSWER_COMPLETE, Map.of("outputTokens", outputTokens));
    return true;
  }

  /** Ends the dispatch with a whole answer of the endpoint. */
  void completeWhole(EndpointAnswer whole, int outputTokens) {
    if (complete(outputTokens)) {
      answer.complete(
          Answer.whole(whole.status(), whole.contentType(), whole.body(), outputTokens));
    }
  }

  /** Ends the dispatch because nothing was written or the endpoint refused before running. */
  void notDispatched(Failure failure) {
    if (ended.compareAndSet(false, true)) {
      context.lifecycle().retractDispatch();
      context.permit().finish(WorkEvent.Result.NOT_DISPATCHED, 0);
      answer.completeExceptionally(reasonOf(failure).toException());
    }
  }

  /** Ends the dispatch without a complete answer; false if it had ended before. */
  boolean fail(WorkEvent.Result result, int outputTokens, Failure failure) {
    if (!end(result, outputTokens)) {
      return false;
    }
    answer.completeExceptionally(unknown(failure).toException());
    return true;
  }

  static Failure unknown(Failure failure) {
    return failure.withOutcome(Outcome.UNKNOWN);
  }

  static Failure incomplete(String detail) {
    return Failure.unknown(FailureType.ANSWER_INCOMPLETE, detail);
  }

  private Map<String, Object> endpointDetail() {
    return Map.of("endpoint", context.permit().endpoint().id().toString());
  }

  /** A call given up on meanwhile is told why, not that its endpoint refused. */
  private Failure reasonOf(Failure failure) {
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
