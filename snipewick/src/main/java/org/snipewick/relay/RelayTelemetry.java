package org.snipewick.relay;

import static java.util.Objects.requireNonNull;

import java.util.LinkedHashMap;
import java.util.Map;
import org.snipewick.event.EventType;
import org.snipewick.failure.Failure;
import org.snipewick.failure.FailureType;
import org.snipewick.failure.Outcome;
import org.snipewick.placement.PlacementDecision;

/** Records the course of each request in the event log and in the metrics. */
final class RelayTelemetry {
  private static final long NANOS_PER_MILLI = 1_000_000L;

  private final RelayDependencies dependencies;
  private final RelayMetrics metrics;

  RelayTelemetry(RelayDependencies dependencies) {
    this.dependencies = requireNonNull(dependencies, "dependencies");
    this.metrics = new RelayMetrics(dependencies.metrics());
  }

  void dispatched(RelayCall call, PlacementDecision.Placed placed, long nowNanos) {
    metrics.recordQueueWait(call.tier(), nowNanos - call.request().receivedNanos());
    Map<String, Object> details = commonDetails(call, nowNanos);
    details.put("endpoint", placed.endpoint().id().toString());
    details.put("attempt", call.attempts());
    details.put("present", placed.inFlight());
    details.put("slots", placed.endpoint().slots());
    details.put("waiting", placed.waiting());
    details.put("planVersion", call.plan().version());
    details.put("proofAgeMillis", dependencies.plans().proofAgeMillis());
    record(EventType.REQUEST_DISPATCHED, call, details);
  }

  void firstEvent(RelayCall call, long nowNanos) {
    metrics.firstEvent(call.tier(), nowNanos - call.request().receivedNanos());
  }

  void retried(RelayCall call, RelayAttempt failed, String detail, long nowNanos) {
    metrics.retried();
    Map<String, Object> details = commonDetails(call, nowNanos);
    details.put("endpoint", failed.endpoint().id().toString());
    details.put("attempts", call.attempts());
    details.put("detail", detail);
    record(EventType.REQUEST_REPEATED, call, details);
  }

  void delivered(RelayCall call, int status, long nowNanos) {
    metrics.responded(call.tier(), status, nowNanos - call.request().receivedNanos());
    Map<String, Object> details = commonDetails(call, nowNanos);
    details.put("status", status);
    record(EventType.REQUEST_DELIVERED, call, details);
  }

  void failed(RelayCall call, Failure failure, long nowNanos) {
    metrics.failed(failure.type());
    Map<String, Object> details = commonDetails(call, nowNanos);
    details.put("type", failure.type().number());
    details.put("outcome", failure.outcome().text());
    details.put("detail", failure.detail());
    details.put("attempts", call.attempts());
    call.attempt()
        .ifPresent(attempt -> details.put("endpoint", attempt.endpoint().id().toString()));
    record(EventType.REQUEST_FAILED, call, details);
  }

  /** Records that a request was refused before it waited for a slot. */
  void refused(RelayRequest request, Failure failure, long nowNanos) {
    metrics.failed(failure.type());
    dependencies
        .events()
        .record(
            EventType.REQUEST_FAILED,
            request.id(),
            Map.of(
                "type",
                failure.type().number(),
                "outcome",
                failure.outcome().text(),
                "detail",
                failure.detail(),
                "proofAgeMillis",
                dependencies.plans().proofAgeMillis(),
                "millis",
                (nowNanos - request.receivedNanos()) / NANOS_PER_MILLI));
  }

  void streamBroken(RelayCall call, long nowNanos) {
    Map<String, Object> details = commonDetails(call, nowNanos);
    details.put("type", FailureType.ANSWER_INCOMPLETE.number());
    details.put("outcome", Outcome.UNKNOWN.text());
    details.put("detail", "stream was broken off or its caller stopped reading");
    call.attempt()
        .ifPresent(attempt -> details.put("endpoint", attempt.endpoint().id().toString()));
    record(EventType.REQUEST_FAILED, call, details);
  }

  void callerLeft(RelayCall call, long nowNanos) {
    metrics.callerLeft();
    record(EventType.CALLER_LEFT, call, commonDetails(call, nowNanos));
  }

  private static Map<String, Object> commonDetails(RelayCall call, long nowNanos) {
    Map<String, Object> details = new LinkedHashMap<>();
    details.put("route", call.route().name());
    details.put("tier", call.tier().number());
    details.put("millis", (nowNanos - call.request().receivedNanos()) / NANOS_PER_MILLI);
    return details;
  }

  private void record(EventType type, RelayCall call, Map<String, Object> details) {
    dependencies.events().record(type, call.request().id(), details);
  }
}
