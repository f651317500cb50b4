package org.snipewick.relay;

import static java.util.Objects.requireNonNull;

import java.util.LinkedHashMap;
import java.util.Map;
import org.snipewick.event.EventType;
import org.snipewick.failure.Failure;
import org.snipewick.failure.FailureType;
import org.snipewick.failure.Outcome;
import org.snipewick.placement.PlacementDecision;

/** Tells log and metrics what became of requests, and what was known when it was decided. */
final class RelayRecords {
  private static final long NANOS_PER_MILLI = 1_000_000L;

  private final RelayServices services;
  private final RelayMetrics metrics;

  RelayRecords(RelayServices services) {
    this.services = requireNonNull(services, "services");
    this.metrics = new RelayMetrics(services.metrics());
  }

  void dispatched(RelayCall call, PlacementDecision.Placed placed, long nowNanos) {
    metrics.waited(call.tier(), nowNanos - call.request().receivedNanos());
    Map<String, Object> details = base(call, nowNanos);
    details.put("endpoint", placed.endpoint().id().toString());
    details.put("attempt", call.attempts());
    details.put("present", placed.present());
    details.put("slots", placed.endpoint().slots());
    details.put("waiting", placed.waiting());
    details.put("planVersion", call.plan().version());
    details.put("proofAgeMillis", services.plans().proofAgeMillis());
    record(EventType.REQUEST_DISPATCHED, call, details);
  }

  void firstEvent(RelayCall call, long nowNanos) {
    metrics.firstEvent(call.tier(), nowNanos - call.request().receivedNanos());
  }

  void repeated(RelayCall call, RelayAttempt failed, String detail, long nowNanos) {
    metrics.repeated();
    Map<String, Object> details = base(call, nowNanos);
    details.put("endpoint", failed.endpoint().id().toString());
    details.put("attempts", call.attempts());
    details.put("detail", detail);
    record(EventType.REQUEST_REPEATED, call, details);
  }

  void delivered(RelayCall call, int status, long nowNanos) {
    metrics.answered(call.tier(), status, nowNanos - call.request().receivedNanos());
    Map<String, Object> details = base(call, nowNanos);
    details.put("status", status);
    record(EventType.REQUEST_DELIVERED, call, details);
  }

  void failed(RelayCall call, Failure failure, long nowNanos) {
    metrics.failed(failure.type());
    Map<String, Object> details = base(call, nowNanos);
    details.put("type", failure.type().number());
    details.put("outcome", failure.outcome().text());
    details.put("detail", failure.detail());
    details.put("attempts", call.attempts());
    call.attempt()
        .ifPresent(attempt -> details.put("endpoint", attempt.endpoint().id().toString()));
    record(EventType.REQUEST_FAILED, call, details);
  }

  /** Tells of a request that was refused before it had a place in a queue. */
  void refused(RelayRequest request, Failure failure, long nowNanos) {
    metrics.failed(failure.type());
    services
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
                services.plans().proofAgeMillis(),
                "millis",
                (nowNanos - request.receivedNanos()) / NANOS_PER_MILLI));
  }

  void streamBroken(RelayCall call, long nowNanos) {
    Map<String, Object> details = base(call, nowNanos);
    details.put("type", FailureType.ANSWER_INCOMPLETE.number());
    details.put("outcome", Outcome.UNKNOWN.text());
    details.put("detail", "stream broke off, or its caller stopped reading");
    call.attempt()
        .ifPresent(attempt -> details.put("endpoint", attempt.endpoint().id().toString()));
    record(EventType.REQUEST_FAILED, call, details);
  }

  void callerLeft(RelayCall call, long nowNanos) {
    metrics.callerLeft();
    record(EventType.CALLER_LEFT, call, base(call, nowNanos));
  }

  private static Map<String, Object> base(RelayCall call, long nowNanos) {
    Map<String, Object> details = new LinkedHashMap<>();
    details.put("route", call.route().name());
    details.put("tier", call.tier().number());
    details.put("millis", (nowNanos - call.request().receivedNanos()) / NANOS_PER_MILLI);
    return details;
  }

  private void record(EventType type, RelayCall call, Map<String, Object> details) {
    services.events().record(type, call.request().id(), details);
  }
}
