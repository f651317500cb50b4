package org.snipewick.placement;

import static java.util.Objects.requireNonNull;

import java.util.Collection;

/**
 * What the endpoints of a pool are for one round of decisions. Values that are the same for all
 * requests that may be sent to any endpoint are calculated once, as a broker may have hundreds that
 * wait. Not thread-safe.
 */
final class EndpointsSummary {
  private final Collection<EndpointLoad> endpoints;
  private final long nowNanos;
  private final boolean hasAccepting;
  private final long shortestPauseNanos;
  private int ownInFlight;

  EndpointsSummary(Collection<EndpointLoad> endpoints, long nowNanos) {
    this.endpoints = requireNonNull(endpoints, "endpoints");
    this.nowNanos = nowNanos;
    boolean isAnyAccepting = false;
    long shortest = Long.MAX_VALUE;
    for (EndpointLoad load : endpoints) {
      ownInFlight += load.ownInFlight();
      if (!load.endpoint().isLeaving()) {
        isAnyAccepting = true;
        shortest = Math.min(shortest, load.requestedPauseNanos(nowNanos));
      }
    }
    hasAccepting = isAnyAccepting;
    shortestPauseNanos = isAnyAccepting ? shortest : 0;
  }

  /** Returns whether there is an endpoint that the request may be sent to. */
  boolean hasCandidate(WaitingRequest request) {
    return isUnrestricted(request)
        ? hasAccepting
        : endpoints.stream().anyMatch(load -> isCandidate(load, request));
  }

  /** Returns the time until an endpoint that may run the request has not asked for a pause. */
  long shortestRequestedPauseNanos(WaitingRequest request) {
    return isUnrestricted(request)
        ? shortestPauseNanos
        : endpoints.stream()
            .filter(load -> isCandidate(load, request))
            .mapToLong(load -> load.requestedPauseNanos(nowNanos))
            .min()
            .orElse(0);
  }

  private static boolean isUnrestricted(WaitingRequest request) {
    return request.triedEndpoints().isEmpty() && request.filter() == EndpointFilter.ANY;
  }

  private static boolean isCandidate(EndpointLoad load, WaitingRequest request) {
    return !load.endpoint().isLeaving() && EndpointChoice.maySendTo(load, request);
  }

  /** Returns the requests of this instance in flight. */
  int ownInFlight() {
    return ownInFlight;
  }

  /** Counts a request that was placed in this round. */
  void countPlaced() {
    ownInFlight++;
  }
}
