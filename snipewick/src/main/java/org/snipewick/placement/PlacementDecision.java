package org.snipewick.placement;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import org.snipewick.registry.RegisteredEndpoint;

/** Decision about a waiting request. */
public sealed interface PlacementDecision {

  /**
   * Returns the request that the decision is about.
   *
   * @return request
   */
  WaitingRequest request();

  /**
   * Decision to send the request to an endpoint.
   *
   * @param request request
   * @param endpoint endpoint to send it to
   * @param inFlight estimated number of requests in flight at the endpoint before this one
   * @param waiting number of other requests that wait for the pool at this instance
   */
  record Placed(WaitingRequest request, RegisteredEndpoint endpoint, int inFlight, int waiting)
      implements PlacementDecision {

    /** Checks that no component is null. */
    public Placed {
      requireNonNull(request, "request");
      requireNonNull(endpoint, "endpoint");
    }
  }

  /**
   * Decision to refuse the request instead of sending it to an endpoint.
   *
   * @param request request
   * @param reason reason of the refusal
   * @param retryAfter time after which a retry is likely to be served
   */
  record Refused(WaitingRequest request, Reason reason, Duration retryAfter)
      implements PlacementDecision {

    /** Checks that no component is null. */
    public Refused {
      requireNonNull(request, "request");
      requireNonNull(reason, "reason");
      requireNonNull(retryAfter, "retryAfter");
    }
  }

  /** Reason of a refusal. */
  enum Reason {
    /** The pool has no endpoint that the request may be sent to. */
    NO_ENDPOINT,
    /** All endpoints asked not to be sent anything for longer than the request may wait. */
    ENDPOINTS_PAUSED,
    /** The expected wait behind the requests ahead is longer than the request may wait. */
    QUEUE_TOO_LONG,
    /**
     * The request has waited for longer than it may, and is not expected to be answered in time.
     */
    WAITED_TOO_LONG
  }
}
