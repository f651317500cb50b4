package org.snipewick.relay;

import static java.util.Objects.requireNonNull;

import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.snipewick.failure.Failure;
import org.snipewick.failure.FailureType;
import org.snipewick.quarantine.Quarantine;
import org.snipewick.quarantine.QuarantinedPart;
import org.snipewick.time.TimerService;

/**
 * Refuses requests with a prompt part that crashes endpoints, and records what happens to the other
 * ones as evidence. Used on one event loop only.
 */
final class CallQuarantine implements RelayFilter {
  private static final int OK = 200;

  private final Quarantine quarantine;
  private final TimerService timer;

  /** Calls with shared prompt parts that have not ended. */
  private final Set<RelayCall> calls = new HashSet<>();

  CallQuarantine(Quarantine quarantine, TimerService timer) {
    this.quarantine = requireNonNull(quarantine, "quarantine");
    this.timer = requireNonNull(timer, "timer");
  }

  @Override
  public Promise<HttpResponse> apply(RelayCall call, Next next) {
    Optional<Failure> refusal = refusal(call);
    return refusal.isPresent()
        ? Promise.ofException(refusal.get().toException())
        : next.handle(call);
  }

  /** Returns why a call must not be sent to an endpoint; empty if it may be. */
  Optional<Failure> refusal(RelayCall call) {
    return quarantine
        .find(call.request().sharedParts())
        .map(this::refusal)
        .map(call::unknownIfMayHaveRun);
  }

  private Failure refusal(QuarantinedPart part) {
    return Failure.notRun(
            FailureType.QUARANTINED, "prompt part " + part.id() + " crashed several endpoints")
        .withRetryAfter(part.timeLeft(timer.epochMillis()));
  }

  /** Returns whether a call that was on a crashed endpoint must not be sent to another one. */
  boolean isSuspected(RelayCall call) {
    return quarantine.isSuspected(call.request().sharedParts());
  }

  void begin(RelayCall call) {
    if (!call.request().sharedParts().isEmpty()) {
      calls.add(call);
    }
  }

  void end(RelayCall call) {
    calls.remove(call);
  }

  /**
   * Returns the calls whose parts are in quarantine now and whose endpoint has not begun to write
   * the answer, which is when it would crash.
   */
  Map<RelayCall, Failure> quarantinedCalls() {
    Map<RelayCall, Failure> quarantined = new HashMap<>();
    for (RelayCall call : calls) {
      boolean isAnswering =
          call.attempt()
              .map(attempt -> attempt.progress() == RelayAttempt.Progress.BODY)
              .orElse(false);
      if (!isAnswering) {
        refusal(call).ifPresent(refusal -> quarantined.put(call, refusal));
      }
    }
    return quarantined;
  }

  /** Records that a valid response of the intended endpoint has begun. */
  void recordResponse(RelayAttempt attempt) {
    quarantine.recordResponse(
        attempt.endpoint().id(), attempt.endpoint().startedEpochMillis(), attempt.placedNanos());
  }

  /** Records that the connection of an attempt ended before its response was complete. */
  void recordBrokenResponse(RelayCall call, RelayAttempt attempt) {
    quarantine.recordBrokenResponse(
        attempt.endpoint().id(),
        attempt.endpoint().startedEpochMillis(),
        call.request().sharedParts());
  }

  /** Records that the response to a call is complete. */
  void recordAnswer(RelayCall call, int status) {
    if (status == OK) {
      quarantine.recordAnswer(call.request().sharedParts());
    }
  }
}
