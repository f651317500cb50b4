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
 * Waits for permission to dispatch. A dispatch that provably did not happen is tried again with a
 * new permission, within a budget and the agreed time.
 */
final class AdmitFilter implements Filter {
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
    budget.earn();
    return attempt(context, next, 1);
  }

  private CompletableFuture<Answer> attempt(CallContext context, Chain next, int number) {
    CompletableFuture<Answer> answer =
        acquire(context).thenCompose(permit -> proceed(context, next, permit));
    return Futures.andThen(
        answer,
        (value, failure) -> failure == null ? answer : retryOrFail(context, next, number, failure));
  }

  private CompletableFuture<Answer> retryOrFail(
      CallContext context, Chain next, int number, Failure failure) {
    if (mayRetry(context, number, failure)) {
      return attempt(context, next, number + 1);
    }
    return Futures.failed(failure);
  }

  private boolean mayRetry(CallContext context, int number, Failure failure) {
    boolean notDispatched =
        failure.outcome() == Outcome.NOT_RUN && failure.type() == FailureType.ENDPOINT_REFUSED;
    return notDispatched
        && number < MAX_ATTEMPTS
        && !context.lifecycle().isDispatched()
        && !context.lifecycle().abandonment().isDone()
        && timer.nanoTime() < context.deadlineNanos()
        && budget.trySpend();
  }

  private CompletableFuture<PoolClient.Permit> acquire(CallContext context) {
    WorkRequest work = workOf(context);
    log.record(
        EventType.REQUEST_OFFERED,
        context.id().toString(),
        Map.of("pool", work.pool().toString(), "tier", work.tier().number()));
    CompletableFuture<PoolClient.Permit> waiting = new CompletableFuture<>();
    CompletableFuture<PoolClient.Permit> grant =
        pool.acquire(work, cancel -> abandon(context, cancel));
    Futures.whenDone(grant, (permit, failure) -> arrived(context, waiting, permit, failure));
    Futures.whenResult(
        context.lifecycle().abandonment(),
        reason -> withdraw(waiting, grant, reason.withOutcome(Outcome.NOT_RUN)));
    return waiting;
  }

  /** Takes the request of a call back that was given up on, and ends its waiting. */
  private static void withdraw(
      CompletableFuture<PoolClient.Permit> waiting,
      CompletableFuture<PoolClient.Permit> grant,
      Failure reason) {
    grant.cancel(false);
    waiting.completeExceptionally(reason.toException());
  }

  /** Hands a permission on, or back if the call was given up on meanwhile. */
  private static void arrived(
      CallContext context,
      CompletableFuture<PoolClient.Permit> waiting,
      PoolClient.Permit permit,
      Failure failure) {
    if (failure != null) {
      waiting.completeExceptionally(reasonOf(context, failure).toException());
    } else if (!waiting.complete(permit)) {
      permit.finish(WorkEvent.Result.NOT_DISPATCHED, 0);
    }
  }

  /** A call that was given up on is told why, and not that its request was taken back. */
  private static Failure reasonOf(CallContext context, Failure failure) {
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

  private static void abandon(CallContext context, Decision.Cancel cancel) {
    context
        .lifecycle()
        .abandon(Failure.unknown(cancel.reason(), "cancelled by the scheduler of the pool"));
  }

  private WorkRequest workOf(CallContext context) {
    long now = timer.nanoTime();
    long waited = Math.max(0, (now - context.receivedNanos()) / NANOS_PER_MILLI);
    long remaining = Math.max(0, (context.deadlineNanos() - now) / NANOS_PER_MILLI);
    Prompt prompt = context.target() instanceof Target.Model model ? model.prompt() : Prompt.none();
    return new WorkRequest(
        context.id(),
        context.team(),
        context.target().pool(),
        context.tier(),
        prompt.promptTokens(),
        prompt.maxOutputTokens(),
        prompt.prefixHashes(),
        waited,
        remaining);
  }
}
