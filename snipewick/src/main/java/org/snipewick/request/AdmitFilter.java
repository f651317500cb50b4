package org.snipewick.request;

import static java.util.Objects.requireNonNull;

import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.snipewick.event.EventLog;
import org.snipewick.event.EventType;
import org.snipewick.failure.Failure;
import org.snipewick.failure.FailureType;
import org.snipewick.failure.Outcome;
import org.snipewick.pool.Decision;
import org.snipewick.pool.PoolClient;
import org.snipewick.pool.WorkEvent;
import org.snipewick.pool.WorkRequest;
import org.snipewick.time.TimerService;

/**
 * Acquires a permit to dispatch a call from the scheduler of its pool. If the call was certainly
 * not run, because the endpoint rejected it or the permit expired, it is retried with a new permit,
 * within the retry budget and the deadline of the call.
 */
final class AdmitFilter implements Filter {
  /** Attempts to get a request admitted and dispatched, including the first. */
  private static final int MAX_ATTEMPTS = 3;

  private static final long NANOS_PER_MILLI = 1_000_000;

  private final PoolClient pool;
  private final RetryBudget budget;
  private final TimerService timer;
  private final EventLog log;

  private AdmitFilter(PoolClient pool, RetryBudget budget, TimerService timer, EventLog log) {
    this.pool = pool;
    this.budget = budget;
    this.timer = timer;
    this.log = log;
  }

  static AdmitFilter of(PoolClient pool, RetryBudget budget, TimerService timer, EventLog log) {
    return new AdmitFilter(
        requireNonNull(pool, "pool"),
        requireNonNull(budget, "budget"),
        requireNonNull(timer, "timer"),
        requireNonNull(log, "log"));
  }

  @Override
  public CompletableFuture<Answer> apply(CallContext context, Chain next) {
    budget.recordRequest();
    return attempt(context, next, 1);
  }

  private CompletableFuture<Answer> attempt(CallContext context, Chain next, int attemptNumber) {
    CompletableFuture<Answer> answer =
        acquire(context).thenCompose(permit -> proceed(context, next, permit));
    return Futures.andThen(
        answer,
        (value, failure) ->
            failure == null ? answer : retryOrFail(context, next, attemptNumber, failure));
  }

  private CompletableFuture<Answer> retryOrFail(
      CallContext context, Chain next, int attemptNumber, Failure failure) {
    if (mayRetry(context, attemptNumber, failure)) {
      return attempt(context, next, attemptNumber + 1);
    }
    return Futures.failed(failure);
  }

  private boolean mayRetry(CallContext context, int attemptNumber, Failure failure) {
    boolean notDispatched =
        failure.outcome() == Outcome.NOT_RUN && failure.type() == FailureType.ENDPOINT_REFUSED;
    return notDispatched
        && attemptNumber < MAX_ATTEMPTS
        && !context.lifecycle().isDispatched()
        && !context.lifecycle().abandonment().isDone()
        && timer.nanoTime() < context.deadlineNanos()
        && budget.trySpend();
  }

  private CompletableFuture<PoolClient.Permit> acquire(CallContext context) {
    WorkRequest work = workRequestOf(context);
    log.record(
        EventType.REQUEST_OFFERED,
        context.id().toString(),
        Map.of("pool", work.pool().toString(), "tier", work.tier().number()));
    CompletableFuture<PoolClient.Permit> waiting = new CompletableFuture<>();
    CompletableFuture<PoolClient.Permit> grant =
        pool.acquire(work, cancel -> onSchedulerCancel(context, cancel));
    Futures.whenDone(grant, (permit, failure) -> onPermit(context, waiting, permit, failure));
    Futures.whenResult(
        context.lifecycle().abandonment(),
        reason -> cancelAcquire(waiting, grant, reason.withOutcome(Outcome.NOT_RUN)));
    return waiting;
  }

  /** Withdraws the request of an abandoned call from its scheduler and ends the wait. */
  private static void cancelAcquire(
      CompletableFuture<PoolClient.Permit> waiting,
      CompletableFuture<PoolClient.Permit> grant,
      Failure reason) {
    grant.cancel(false);
    waiting.completeExceptionally(reason.toException());
  }

  /** Passes a permit on, or returns it unused if the call was abandoned meanwhile. */
  private static void onPermit(
      CallContext context,
      CompletableFuture<PoolClient.Permit> waiting,
      PoolClient.Permit permit,
      Failure failure) {
    if (failure != null) {
      waiting.completeExceptionally(abandonmentReasonOr(context, failure).toException());
    } else if (!waiting.complete(permit)) {
      permit.finish(WorkEvent.Result.NOT_DISPATCHED, 0);
    }
  }

  /**
   * Returns the reason why the call was abandoned, or the given failure if it was not. An abandoned
   * call must fail with that reason, not because its request was withdrawn.
   */
  private static Failure abandonmentReasonOr(CallContext context, Failure failure) {
    CompletableFuture<Failure> abandonment = context.lifecycle().abandonment();
    return abandonment.isDone() ? abandonment.join().withOutcome(Outcome.NOT_RUN) : failure;
  }

  private CompletableFuture<Answer> proceed(
      CallContext context, Chain next, PoolClient.Permit permit) {
    log.record(
        EventType.REQUEST_GRANTED,
        context.id().toString(),
        Map.of(
            "endpoint",
            permit.endpoint().id().toString(),
            "millisLeft",
            (context.deadlineNanos() - timer.nanoTime()) / NANOS_PER_MILLI));
    return next.proceed(context.withPermit(permit));
  }

  private static void onSchedulerCancel(CallContext context, Decision.Cancel cancel) {
    context
        .lifecycle()
        .abandon(
            Failure.unknown(cancel.reason(), "request was cancelled by the scheduler of its pool"));
  }

  private WorkRequest workRequestOf(CallContext context) {
    long nowNanos = timer.nanoTime();
    long waitedMillis = Math.max(0, (nowNanos - context.receivedNanos()) / NANOS_PER_MILLI);
    long remainingMillis = Math.max(0, (context.deadlineNanos() - nowNanos) / NANOS_PER_MILLI);
    Prompt prompt = context.target() instanceof Target.Model model ? model.prompt() : Prompt.none();
    return new WorkRequest(
        context.id(),
        context.team(),
        context.target().pool(),
        context.tier(),
        prompt.promptTokens(),
        prompt.maxOutputTokens(),
        prompt.prefixHashes(),
        waitedMillis,
        remainingMillis);
  }
}
