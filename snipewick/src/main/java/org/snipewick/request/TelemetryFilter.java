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

/** Logs the receipt and the end of each call and counts them in the metrics. */
final class TelemetryFilter implements Filter {
  private static final long NANOS_PER_MILLI = 1_000_000L;

  private final RequestMetrics metrics;
  private final TimerService timer;
  private final EventLog log;

  private TelemetryFilter(RequestMetrics metrics, TimerService timer, EventLog log) {
    this.metrics = metrics;
    this.timer = timer;
    this.log = log;
  }

  static TelemetryFilter of(RequestMetrics metrics, TimerService timer, EventLog log) {
    return new TelemetryFilter(
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
        next.proceed(context), (answer, failure) -> recordResult(context, answer, failure));
  }

  private CompletableFuture<Answer> recordResult(
      CallContext context, Answer answer, Failure thrown) {
    context.lifecycle().tier().ifPresent(metrics::received);
    if (thrown != null) {
      Failure failure = reportableFailure(context, thrown);
      recordFailure(context, failure);
      return Futures.failed(failure);
    }
    Futures.whenResult(answer.ending(), ending -> recordEnding(context, ending));
    Endings.whenReaderDone(answer, () -> recordIfDelivered(context, answer));
    return CompletableFuture.completedFuture(answer);
  }

  private Failure reportableFailure(CallContext context, Failure failure) {
    if (failure.type() != FailureType.INTERNAL) {
      return KeyOutcome.withOutcomeOfKey(context, failure);
    }
    log.record(
        EventType.INTERNAL_ERROR, context.id().toString(), Map.of("detail", failure.detail()));
    return KeyOutcome.withOutcomeOfKey(context, context.lifecycle().withOutcomeOfDispatch(failure));
  }

  private void recordEnding(CallContext context, Ending ending) {
    ending
        .failure()
        .ifPresentOrElse(failure -> recordFailure(context, failure), () -> recordAnswer(context));
  }

  private void recordAnswer(CallContext context) {
    long nowNanos = timer.nanoTime();
    long latencyNanos = nowNanos - context.receivedNanos();
    boolean inTime = !context.lifecycle().abandonment().isDone();
    context.lifecycle().tier().ifPresent(tier -> metrics.answered(tier, inTime, latencyNanos));
  }

  private void recordFailure(CallContext context, Failure failure) {
    context
        .lifecycle()
        .tier()
        .ifPresentOrElse(
            tier -> metrics.failed(tier, failure.type()), () -> metrics.refused(failure.type()));
    Map<String, Object> details = commonDetails(context);
    details.put("failure", failure.type().number());
    details.put("failureName", failure.type().name());
    details.put("outcome", failure.outcome().text());
    details.put("dispatched", context.lifecycle().isDispatched());
    details.put("detail", failure.detail());
    failure.retryAfter().ifPresent(time -> details.put("retryAfterMillis", time.toMillis()));
    log.record(EventType.REQUEST_FAILED, context.id().toString(), details);
  }

  /** Returns the log details that every event about the end of a call has. */
  private Map<String, Object> commonDetails(CallContext context) {
    Map<String, Object> details = new TreeMap<>();
    context.lifecycle().tier().ifPresent(tier -> details.put("tier", tier.number()));
    details.put(
        "millisSinceReceived", (timer.nanoTime() - context.receivedNanos()) / NANOS_PER_MILLI);
    return details;
  }

  private void recordIfDelivered(CallContext context, Answer answer) {
    if (context.lifecycle().isCallerDisconnected()) {
      return;
    }
    boolean complete =
        Optional.ofNullable(answer.ending().getNow(null))
            .filter(ending -> ending.failure().isEmpty())
            .isPresent();
    if (complete) {
      Map<String, Object> details = commonDetails(context);
      details.put("inTime", !context.lifecycle().abandonment().isDone());
      log.record(EventType.REQUEST_DELIVERED, context.id().toString(), details);
    }
  }
}
