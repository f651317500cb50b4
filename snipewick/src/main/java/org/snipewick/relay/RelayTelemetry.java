package org.snipewick.relay;

import static java.util.Objects.requireNonNull;

import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.OptionalDouble;
import org.snipewick.event.EventType;
import org.snipewick.failure.Failure;
import org.snipewick.failure.FailureType;
import org.snipewick.failure.Outcome;
import org.snipewick.identity.EndpointId;
import org.snipewick.placement.PlacementDecision;

/** Records what happens to each request in the event log and in the metrics. */
final class RelayTelemetry {
  private static final long NANOS_PER_MILLI = 1_000_000L;

  private final RelayDependencies dependencies;
  private final RelayMetrics metrics;

  RelayTelemetry(RelayDependencies dependencies) {
    this.dependencies = requireNonNull(dependencies, "dependencies");
    this.metrics = new RelayMetrics(dependencies.metrics());
  }

  /** Records that an attempt to run a request is about to be sent. */
  void dispatched(RelayCall call, PlacementDecision.Placed placed, long nowNanos) {
    metrics.recordQueueWait(call.tier(), nowNanos - call.request().receivedNanos());
    Map<String, Object> details = commonDetails(call, nowNanos);
    details.put("endpoint", placed.endpoint().id().toString());
    details.put("attempt", call.attempts());
    details.put("present", placed.inFlight());
    details.put("slots", placed.endpoint().slots());
    details.put("waiting", placed.waiting());
    details.put("promptParts", promptParts(call));
    details.put("planVersion", call.plan().version());
    details.put("proofAgeMillis", dependencies.plans().proofAgeMillis());
    call.quotaCharge().ifPresent(charge -> putQuota(details, call, charge, nowNanos));
    record(EventType.REQUEST_DISPATCHED, call, details);
  }

  private static void putQuota(
      Map<String, Object> details, RelayCall call, QuotaCharge charge, long nowNanos) {
    details.put("team", call.team().orElseThrow().name().value());
    details.put("quotaCharge", (long) charge.amount());
    details.put("quotaChargedMillisAgo", (nowNanos - charge.atNanos()) / NANOS_PER_MILLI);
    details.put(
        "quotaWaitMillis", (charge.atNanos() - call.request().receivedNanos()) / NANOS_PER_MILLI);
  }

  /** Records that the first bytes of a stream have arrived from the endpoint. */
  void firstEventReceived(RelayCall call, long nowNanos) {
    metrics.recordFirstEvent(call.tier(), nowNanos - call.request().receivedNanos());
  }

  /**
   * Records that the connection of an attempt ended before its response was complete. Connections
   * of several requests to one endpoint end at the same time if the endpoint itself has ended.
   */
  void responseBroken(RelayCall call, RelayAttempt attempt, String detail, long nowNanos) {
    metrics.countBrokenResponse(attempt.progress());
    Map<String, Object> details = commonDetails(call, nowNanos);
    details.put("endpoint", attempt.endpoint().id().toString());
    details.put("endpointStarted", attempt.endpoint().startedEpochMillis());
    details.put("progress", attempt.progress().name());
    details.put("attempt", call.attempts());
    details.put("attemptMillis", (nowNanos - attempt.placedNanos()) / NANOS_PER_MILLI);
    details.put("promptParts", promptParts(call));
    details.put("detail", detail);
    record(EventType.RESPONSE_BROKEN, call, details);
  }

  private static String promptParts(RelayCall call) {
    return String.join(",", call.request().sharedParts().ids());
  }

  /** Records that an endpoint named another limit of its requests, or no longer names one. */
  void endpointLimited(EndpointId endpoint, OptionalDouble limit, LimitCause cause) {
    dependencies
        .events()
        .record(
            EventType.ENDPOINT_LIMITED,
            endpoint.value(),
            Map.of(
                "limit",
                limit.isPresent() ? String.valueOf(limit.getAsDouble()) : "",
                "cause",
                cause.name().toLowerCase(Locale.ROOT)));
  }

  /** What changed the limit of an endpoint. */
  enum LimitCause {
    /** A response to this instance. */
    RESPONSE,
    /** A response to another instance, which reported it. */
    REPORT,
    /** The endpoint's entry in the list of endpoints. */
    ENTRY
  }

  /** Records that a second attempt of a slow request is sent to another endpoint. */
  void hedgeSent(RelayCall call, RelayAttempt hedge, long nowNanos) {
    metrics.countHedge("sent");
    recordHedge(EventType.HEDGE_SENT, call, hedge, nowNanos);
  }

  /** Records which of two attempts of a request is left; the other one failed or was cancelled. */
  void hedgeEnded(RelayCall call, RelayAttempt hedge, boolean hasWon, long nowNanos) {
    metrics.countHedge(hasWon ? "won" : "lost");
    recordHedge(hasWon ? EventType.HEDGE_WON : EventType.HEDGE_LOST, call, hedge, nowNanos);
  }

  private void recordHedge(EventType type, RelayCall call, RelayAttempt hedge, long nowNanos) {
    Map<String, Object> details = commonDetails(call, nowNanos);
    details.put("endpoint", hedge.endpoint().id().toString());
    details.put("attempt", call.attempts());
    details.put("attemptMillis", (nowNanos - hedge.placedNanos()) / NANOS_PER_MILLI);
    record(type, call, details);
  }

  /** Records that a request will be sent again after an attempt that failed. */
  void retried(RelayCall call, RelayAttempt failed, String detail, long nowNanos) {
    metrics.countRetry();
    Map<String, Object> details = commonDetails(call, nowNanos);
    details.put("endpoint", failed.endpoint().id().toString());
    details.put("attempts", call.attempts());
    details.put("detail", detail);
    record(EventType.REQUEST_REPEATED, call, details);
  }

  /** Records that the complete response of an endpoint was passed to the caller. */
  void delivered(RelayCall call, int status, long nowNanos) {
    metrics.recordResponse(call.tier(), status, nowNanos - call.request().receivedNanos());
    Map<String, Object> details = commonDetails(call, nowNanos);
    details.put("status", status);
    record(EventType.REQUEST_DELIVERED, call, details);
  }

  /** Records that a request ended with a failure. */
  void failed(RelayCall call, Failure failure, long nowNanos) {
    metrics.countFailure(failure.type());
    Map<String, Object> details = commonDetails(call, nowNanos);
    details.put("type", failure.type().number());
    details.put("outcome", failure.outcome().text());
    details.put("detail", failure.detail());
    details.put("attempts", call.attempts());
    call.attempt()
        .ifPresent(attempt -> details.put("endpoint", attempt.endpoint().id().toString()));
    record(EventType.REQUEST_FAILED, call, details);
  }

  /** Records that a step of a call threw an exception or error that nothing expects. */
  void defect(RelayCall call, Throwable defect) {
    metrics.countDefect();
    Map<String, Object> details = new LinkedHashMap<>();
    details.put("route", call.route().name());
    details.put("attempts", call.attempts());
    details.put("detail", String.valueOf(defect));
    details.put(
        "at", String.valueOf(Arrays.stream(defect.getStackTrace()).findFirst().orElse(null)));
    record(EventType.INTERNAL_ERROR, call, details);
  }

  /** Records that a request was refused before it was queued. */
  void refused(RelayRequest request, Failure failure, long nowNanos) {
    metrics.countFailure(failure.type());
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

  /** Records that a request was refused because its body cannot be kept. */
  void bodyRefused(String requestId, Failure failure) {
    metrics.countFailure(failure.type());
    dependencies
        .events()
        .record(
            EventType.REQUEST_FAILED,
            requestId,
            Map.of(
                "type",
                failure.type().number(),
                "outcome",
                failure.outcome().text(),
                "detail",
                failure.detail(),
                "heldBytes",
                dependencies.memory().heldBytes()));
  }

  /** Records that a stream ended before its regular end. */
  void streamBroken(RelayCall call, long nowNanos) {
    Map<String, Object> details = commonDetails(call, nowNanos);
    details.put("type", FailureType.ANSWER_INCOMPLETE.number());
    details.put("outcome", Outcome.UNKNOWN.text());
    details.put("detail", "stream broke off or its caller stopped reading");
    call.attempt()
        .ifPresent(attempt -> details.put("endpoint", attempt.endpoint().id().toString()));
    record(EventType.REQUEST_FAILED, call, details);
  }

  /** Records that a caller closed its connection before the response was complete. */
  void callerDisconnected(RelayCall call, long nowNanos) {
    metrics.countCallerDisconnection();
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
