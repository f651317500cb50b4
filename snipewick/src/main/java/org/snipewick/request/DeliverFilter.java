package org.snipewick.request;

import static java.util.Objects.requireNonNull;

import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import org.snipewick.event.EventLog;
import org.snipewick.event.EventType;
import org.snipewick.failure.Failure;
import org.snipewick.failure.FailureType;
import org.snipewick.time.TimerService;

/** Records and counts how each call ends. */
final class DeliverFilter implements Filter {
  private static final long NANOS_PER_MILLI = 1_000_000L;

  private final RequestMetrics metrics;
  private final TimerService timer;
  private final EventLog log;

  private DeliverFilter(RequestMetrics metrics, TimerService timer, EventLog log) {
    this.metrics = metrics;
    this.timer = timer;
    this.log = log;
  }

  static DeliverFilter of(RequestMetrics metrics, TimerService timer, EventLog log) {
    return new DeliverFilter(
        requireNonNull(metrics, "metrics"),
        requireNonNull(timer, "timer"),
        requireNonNull(log, "log"));
  }

  @Override
  public CompletableFuture<Answer> apply(CallContext context, Chain next) {
    String subject = context.id().toString();
    log.record(
        EventType.REQUEST_RECEIVED,
        subject,
        Map.of("method", context.request().method(), "path", context.request().path()));
    return Futures.andThen(
        next.proceed(context), (answer, failure) -> settle(context, answer, failure));
  }

  private CompletableFuture<Answer> settle(CallContext context, Answer answer, Failure thrown) {
    context.lifecycle().tier().ifPresent(metrics::received);
    if (thrown != null) {
      Failure failure = failureOf(context, thrown);
      failed(context, failure);
      return Futures.failed(failure);
    }
    Futures.whenResult(answer.ending(), ending -> ended(context, ending));
    Endings.whenDelivered(answer, () -> delivered(context, answer));
    return CompletableFuture.completedFuture(answer);
  }

  private Failure failureOf(CallContext context, Failure failure) {
    if (failure.type() != FailureType.INTERNAL) {
      return KeyOutcome.correct(context, failure);
    }
    log.record(
        EventType.INTERNAL_ERROR, context.id().toString(), Map.of("detail", failure.detail()));
    return KeyOutcome.correct(context, context.lifecycle().settle(failure));
  }

  private void ended(CallContext context, Ending ending) {
    ending.failure().ifPresentOrElse(failure -> failed(context, failure), () -> answered(context));
  }

  private void answered(CallContext context) {
    long now = timer.nanoTime();
    long latencyNanos = now - context.receivedNanos();
    boolean inTime = !context.lifecycle().abandonment().isDone();
    context.lifecycle().tier().ifPresent(tier -> metrics.answered(tier, inTime, latencyNanos));
  }

  private void failed(CallContext context, Failure failure) {
    context
        .lifecycle()
        .tier()
        .ifPresentOrElse(
            tier -> metrics.failed(tier, failure.type()), () -> metrics.refused(failure.type()));
    Map<String, Object> details = progress(context);
    details.put("failure", failure.type().number());
    details.put("failureName", failure.type().name());
    details.put("outcome", failure.outcome().text());
    details.put("dispatched", context.lifecycle().isDispatched());
    details.put("detail", failure.detail());
    failure.retryAfter().ifPresent(time -> details.put("retryAfterMillis", time.toMillis()));
    log.record(EventType.REQUEST_FAILED, context.id().toString(), details);
  }

  /** Returns what a line about the end of a call says in any case. */
  private Map<String, Object> progress(CallContext context) {
    Map<String, Object> details = new TreeMap<>();
    context.lifecycle().tier().ifPresent(tier -> details.put("tier", tier.number()));
    details.put(
        "millisSinceReceived", (timer.nanoTime() - context.receivedNanos()) / NANOS_PER_MILLI);
    return details;
  }

  private void delivered(CallContext context, Answer answer) {
    if (context.lifecycle().isCallerGone()) {
      return;
    }
    boolean complete =
        Optional.ofNullable(answer.ending().getNow(null))
            .filter(ending -> ending.failure().isEmpty())
            .isPresent();
    if (complete) {
      Map<String, Object> details = progress(context);
      details.put("inTime", !context.lifecycle().abandonment().isDone());
      log.record(EventType.REQUEST_DELIVERED, context.id().toString(), details);
    }
  }
}
