package org.snipewick.placement;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import org.snipewick.roster.RosterEndpoint;

/** What became of a waiting request. */
public sealed interface PlacementDecision {

  /**
   * Returns the request.
   *
   * @return request that waited
   */
  WaitingRequest request();

  /**
   * The request goes to an endpoint.
   *
   * @param request request
   * @param endpoint endpoint
   * @param present requests that were probably there before
   * @param waiting requests that waited for the pool before
   */
  record Placed(WaitingRequest request, RosterEndpoint endpoint, int present, int waiting)
      implements PlacementDecision {

    /** Checks the parts. */
    public Placed {
      requireNonNull(request, "request");
      requireNonNull(endpoint, "endpoint");
    }
  }

  /**
   * The request is refused; it was not sent anywhere by this decision.
   *
   * @param request request
   * @param reason why
   * @param retryAfter when it is likely to be served
   */
  record Refused(WaitingRequest request, Reason reason, Duration retryAfter)
      implements PlacementDecision {

    /** Checks the parts. */
    public Refused {
      requireNonNull(request, "request");
      requireNonNull(reason, "reason");
      requireNonNull(retryAfter, "retryAfter");
    }
  }

  /** Why a request is refused. */
  enum Reason {
    /** The pool has no endpoint that may take it. */
    NO_ENDPOINT,
    /** Those before it take longer than it can wait. */
    QUEUE_TOO_LONG,
    /** It waited until it could no longer be answered in time. */
    WAITED_TOO_LONG
  }
}
