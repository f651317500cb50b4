package org.snipewick.placement;

import static java.util.Objects.requireNonNull;

import java.util.Collection;
import java.util.OptionalDouble;

/**
 * What the endpoints of a pool are for one round of decisions. Values that are the same for all
 * requests that may be sent to any endpoint are calculated once, as a broker may have hundreds that
 * wait. Not thread-safe.
 */
final class EndpointsSummary {
  private final Collection<EndpointLoad> endpoints;
  private final EndpointPermits permits;
  private final long nowNanos;
  private final boolean hasAccepting;
  private final boolean hasLimits;
  private final double permittedPerSecond;
  private long shortestPauseNanos;
  private int ownInFlight;

  EndpointsSummary(Collection<EndpointLoad> endpoints, EndpointPermits permits, long nowNanos) {
    this.endpoints = requireNonNull(endpoints, "endpoints");
    this.permits = requireNonNull(permits, "permits");
    this.nowNanos = nowNanos;
    boolean isAnyAccepting = false;
    boolean isAnyLimited = false;
    double permitted = 0;
    for (EndpointLoad load : endpoints) {
      ownInFlight += load.ownInFlight();
      if (!load.endpoint().isLeaving()) {
        OptionalDouble limit = permits.requestsPerSecond(load.endpoint().id());
        isAnyAccepting = true;
        isAnyLimited |= limit.isPresent();
        permitted += limit.orElse(Double.POSITIVE_INFINITY);
      }
    }
    hasAccepting = isAnyAccepting;
    hasLimits = isAnyLimited;
    permittedPerSecond = permitted;
    shortestPauseNanos = calculateShortestPauseNanos();
  }

  private long calculateShortestPauseNanos() {
    return endpoints.stream()
        .filter(load -> !load.endpoint().isLeaving())
        .mapToLong(this::pauseNanos)
        .min()
        .orElse(0);
  }

  /** Returns whether there is an endpoint that the request may be sent to. */
  boolean hasCandidate(WaitingRequest request) {
    return isUnrestricted(request)
        ? hasAccepting
        : endpoints.stream().anyMatch(load -> isCandidate(load, request));
  }

  /**
   * Returns the time until an endpoint that may run the request has neither asked for a pause nor
   * exhausted its limit.
   */
  long shortestRequestedPauseNanos(WaitingRequest request) {
    return isUnrestricted(request)
        ? shortestPauseNanos
        : endpoints.stream()
            .filter(load -> isCandidate(load, request))
            .mapToLong(this::pauseNanos)
            .min()
            .orElse(0);
  }

  private long pauseNanos(EndpointLoad load) {
    return Math.max(
        load.requestedPauseNanos(nowNanos),
        permits.expectedWaitNanos(load.endpoint().id(), nowNanos));
  }

  private static boolean isUnrestricted(WaitingRequest request) {
    return request.triedEndpoints().isEmpty() && request.filter() == EndpointFilter.ANY;
  }

  private static boolean isCandidate(EndpointLoad load, WaitingRequest request) {
    return !load.endpoint().isLeaving() && EndpointChoice.maySendTo(load, request);
  }

  /** Returns the sum of the limits of all accepting endpoints; infinite if one has none. */
  double permittedPerSecond() {
    return permittedPerSecond;
  }

  /** Returns the requests of this instance in flight. */
  int ownInFlight() {
    return ownInFlight;
  }

  /** Counts a request that was placed in this round. */
  void countPlaced() {
    ownInFlight++;
    if (hasLimits) {
      // The request may have used the last permit.
      shortestPauseNanos = calculateShortestPauseNanos();
    }
  }
}
