package org.snipewick.relay;

import org.snipewick.failure.Failure;
import org.snipewick.failure.FailureType;
import org.snipewick.placement.PlacementDecision;

/** Failures of requests that are refused instead of being sent to an endpoint. */
final class Refusals {
  private Refusals() {}

  /**
   * Returns the failure that the caller gets.
   *
   * @param refused decision to refuse the request
   * @param mayHaveRun whether an endpoint may have run it in an earlier attempt
   * @return failure with an unknown outcome if it may have run; otherwise not run, with the time
   *     after which the caller may return
   */
  static Failure toFailure(PlacementDecision.Refused refused, boolean mayHaveRun) {
    FailureType type = typeOf(refused.reason());
    return mayHaveRun
        ? Failure.unknown(FailureType.OUTCOME_UNKNOWN, "no endpoint for a retry: " + type.title())
        : Failure.notRun(type, detailOf(refused.reason())).withRetryAfter(refused.retryAfter());
  }

  private static FailureType typeOf(PlacementDecision.Reason reason) {
    return switch (reason) {
      case NO_ENDPOINT, ENDPOINTS_PAUSED -> FailureType.NO_ENDPOINT;
      case QUEUE_TOO_LONG -> FailureType.SHED;
      case WAITED_TOO_LONG -> FailureType.DEADLINE_UNREACHABLE;
    };
  }

  private static String detailOf(PlacementDecision.Reason reason) {
    return switch (reason) {
      case NO_ENDPOINT -> "no endpoint accepts requests";
      case ENDPOINTS_PAUSED -> "all endpoints asked for a pause";
      case QUEUE_TOO_LONG, WAITED_TOO_LONG -> "no free slot at an endpoint";
    };
  }
}
