package org.snipewick.placement;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.snipewick.identity.EndpointId;
import org.snipewick.identity.FailureDomain;
import org.snipewick.registry.RegisteredEndpoint;

/**
 * Queue of the requests for one pool at one instance. Endpoints do not support tiers and admit
 * requests in order of arrival; requests therefore wait in this queue and are sent to an endpoint
 * when it has a free slot. Not thread-safe.
 */
public final class PoolPlacement {
  /**
   * By default, endpoints in other failure domains are chosen only if the local ones are about a
   * third more loaded.
   */
  public static final double DEFAULT_REMOTE_COST_FACTOR = 1.3;

  private static final double NANOS_PER_SECOND = 1e9;

  private final QueueOrder order;
  private final WaitLimit waitLimit;
  private final EndpointChoice choice;
  private final EndpointLoads loads = new EndpointLoads();
  private final Map<EndpointId, EndpointLoad> endpoints = loads.listed();
  private final List<WaitingRequest> waiting = new ArrayList<>();
  private final ResidenceTime residenceTime = new ResidenceTime();
  private final ReturnSchedule returns = new ReturnSchedule();
  private final TeamShares teamShares = new TeamShares();
  private final PeerPlacements placedByPeers = new PeerPlacements(this, loads, residenceTime);
  private EndpointPermits permits = EndpointPermits.UNLIMITED;

  private PoolPlacement(
      FailureDomain domain, QueueOrder order, WaitLimit waitLimit, RandomGenerator random) {
    this.order = requireNonNull(order, "order");
    this.waitLimit = requireNonNull(waitLimit, "waitLimit");
    this.choice = new EndpointChoice(domain, random);
  }

  /**
   * Creates an empty queue without endpoints.
   *
   * @param domain failure domain of the instance, whose endpoints are preferred
   * @param order order of the waiting requests
   * @param waitLimit limit of the time that they may wait
   * @param random source of randomness for the choice of endpoints in a large fleet
   * @return queue
   */
  public static PoolPlacement of(
      FailureDomain domain, QueueOrder order, WaitLimit waitLimit, RandomGenerator random) {
    return new PoolPlacement(domain, order, waitLimit, random);
  }

  /**
   * Sets the permits for endpoints with limits; without them no endpoint has one.
   *
   * @param endpointPermits permits, which are shared with the other pools
   */
  public void setPermits(EndpointPermits endpointPermits) {
    permits = requireNonNull(endpointPermits, "endpointPermits");
  }

  /**
   * Sets the number of instances that share the endpoints.
   *
   * @param count number of instances, this one included
   */
  public void setInstances(int count) {
    choice.setInstances(count);
  }

  /**
   * Sets the number of brokers that choose among the endpoints, because this instance is the broker
   * of its failure domain. Replaces {@link #setInstances}, and the reverse.
   *
   * @param count number of brokers, this one included
   */
  public void setBrokers(int count) {
    choice.setBrokers(count);
  }

  /**
   * Sets the price of a request to another failure domain.
   *
   * @param factor factor by which endpoints there cost more than local ones, at least 1
   */
  public void setRemoteCostFactor(double factor) {
    choice.setRemoteCostFactor(factor);
  }

  /**
   * Replaces the endpoints of the pool by those listed now.
   *
   * @param listed all listed endpoints of the pool, including those that are leaving
   */
  public void update(Collection<RegisteredEndpoint> listed) {
    loads.update(listed);
  }

  /**
   * Adds a request to the queue; {@link #decide} decides about it.
   *
   * @param request request that waits
   */
  public void add(WaitingRequest request) {
    waiting.add(requireNonNull(request, "request"));
  }

  /**
   * Adds a request to the queue; if this instance is a broker, behind others of its tier if its
   * team sends more than usual.
   *
   * @param request request that waits
   * @param nowNanos current monotonic time, in nanoseconds
   */
  public void add(WaitingRequest request, long nowNanos) {
    add(choice.isBroker() ? teamShares.order(request, nowNanos) : request);
  }

  /**
   * Returns the permission that belongs to a decision of this queue.
   *
   * @param placed decision
   * @param nowNanos time of the decision, in monotonic nanoseconds
   * @return grant, to be ended exactly once for each decision
   */
  public PlacementGrant grant(PlacementDecision.Placed placed, long nowNanos) {
    return new LocalGrant(this, placed.endpoint().id(), placed.request().promptTokens(), nowNanos);
  }

  /**
   * Returns the listed entry of an endpoint to which a request may be sent.
   *
   * @param endpoint name of the endpoint
   * @param request request
   * @return entry; empty if the endpoint is not listed, is leaving, has been tried or is not
   *     allowed
   */
  public Optional<RegisteredEndpoint> findAccepting(EndpointId endpoint, WaitingRequest request) {
    return Optional.ofNullable(endpoints.get(endpoint))
        .filter(load -> EndpointChoice.maySendTo(load, request))
        .map(EndpointLoad::endpoint)
        .filter(listed -> !listed.isLeaving());
  }

  /**
   * Returns whether an endpoint has named a limit, so that each request to it needs a permit.
   *
   * @param endpoint name of the endpoint
   * @return whether a limit is known
   */
  public boolean needsPermit(EndpointId endpoint) {
    return permits.requestsPerSecond(endpoint).isPresent();
  }

  /**
   * Returns whether a filter excludes none of the endpoints that accept requests.
   *
   * @param filter filter of a request
   * @return whether the filter makes no difference at the moment
   */
  public boolean isUnrestrictedBy(EndpointFilter filter) {
    return filter == EndpointFilter.ANY
        || endpoints.values().stream()
            .map(EndpointLoad::endpoint)
            .allMatch(endpoint -> endpoint.isLeaving() || filter.allows(endpoint));
  }

  /**
   * Returns the requests of this instance that peers have placed.
   *
   * @return counts of these requests
   */
  public PeerPlacements placedByPeers() {
    return placedByPeers;
  }

  /**
   * Removes a request whose caller disconnected or whose deadline passed.
   *
   * @param id identifier of the request
   * @return whether the request was still waiting
   */
  public boolean remove(String id) {
    return waiting.removeIf(request -> request.id().equals(id));
  }

  /**
   * Places a request that is not to wait, if no other one waits and an endpoint has a free slot.
   *
   * @param request request, which is not added to the queue
   * @param nowNanos current monotonic time, in nanoseconds
   * @return decision; empty if the request cannot be placed now
   */
  public Optional<PlacementDecision.Placed> tryPlace(WaitingRequest request, long nowNanos) {
    return waiting.isEmpty()
        ? choice
            .choose(endpoints.values(), request, permits, nowNanos)
            .map(load -> placed(request, load, nowNanos))
        : Optional.empty();
  }

  /**
   * Decides about all waiting requests that can be placed or must be refused now.
   *
   * @param nowNanos current monotonic time, in nanoseconds
   * @return decisions in order of the queue; requests without a decision remain in it
   */
  public List<PlacementDecision> decide(long nowNanos) {
    if (waiting.isEmpty()) {
      return List.of();
    }
    List<PlacementDecision> decisions = new ArrayList<>();
    waiting.sort(order.at(nowNanos));
    EndpointsSummary summary = new EndpointsSummary(endpoints.values(), permits, nowNanos);
    Iterator<WaitingRequest> iterator = waiting.iterator();
    int requestsAhead = 0;
    Set<EndpointFilter> blocked = new HashSet<>();
    while (iterator.hasNext()) {
      WaitingRequest request = iterator.next();
      Optional<PlacementDecision> decision =
          decide(request, requestsAhead, !blocked.contains(request.filter()), summary, nowNanos);
      if (decision.isPresent()) {
        iterator.remove();
        decisions.add(decision.get());
      } else {
        requestsAhead++;
        blocked.add(request.filter());
      }
    }
    return decisions;
  }

  private Optional<PlacementDecision> decide(
      WaitingRequest request,
      int requestsAhead,
      boolean isNext,
      EndpointsSummary summary,
      long nowNanos) {
    if (!summary.hasCandidate(request)) {
      return Optional.of(
          refused(request, PlacementDecision.Reason.NO_ENDPOINT, requestsAhead, summary, nowNanos));
    }
    long pauseNanos = summary.shortestRequestedPauseNanos(request);
    if (pauseNanos > 0 && pauseNanos > waitLimit.maxWaitNanos(request, nowNanos)) {
      return Optional.of(
          new PlacementDecision.Refused(
              request,
              PlacementDecision.Reason.ENDPOINTS_PAUSED,
              ReturnSchedule.atLeastMinimum(Duration.ofNanos(pauseNanos))));
    }
    if (isNext) {
      Optional<EndpointLoad> free = choice.choose(endpoints.values(), request, permits, nowNanos);
      if (free.isPresent()) {
        PlacementDecision placed = placed(request, free.get(), nowNanos);
        summary.countPlaced();
        return Optional.of(placed);
      }
    }
    if (nowNanos - request.arrivedNanos()
        > waitLimit.maxWaitNanos(request, request.arrivedNanos())) {
      return Optional.of(
          refused(
              request, PlacementDecision.Reason.WAITED_TOO_LONG, requestsAhead, summary, nowNanos));
    }
    if (expectedWaitNanos(requestsAhead + 1, summary) > waitLimit.maxWaitNanos(request, nowNanos)) {
      return Optional.of(
          refused(
              request, PlacementDecision.Reason.QUEUE_TOO_LONG, requestsAhead, summary, nowNanos));
    }
    return Optional.empty();
  }

  private PlacementDecision.Placed placed(
      WaitingRequest request, EndpointLoad load, long nowNanos) {
    int inFlight = load.estimatedInFlight(nowNanos);
    load.begin(request.promptTokens());
    permits.use(load.endpoint().id(), nowNanos);
    return new PlacementDecision.Placed(
        request, load.endpoint(), inFlight, Math.max(0, waiting.size() - 1));
  }

  private PlacementDecision refused(
      WaitingRequest request,
      PlacementDecision.Reason reason,
      int requestsAhead,
      EndpointsSummary summary,
      long nowNanos) {
    Duration retryAfter =
        ReturnSchedule.atLeastMinimum(
            returns.book(
                expectedWaitNanos(requestsAhead + 1, summary),
                expectedWaitNanos(1, summary),
                nowNanos));
    return new PlacementDecision.Refused(request, reason, retryAfter);
  }

  /**
   * Estimates the time until the given number of slots becomes free. The requests that this
   * instance has in flight are assumed to end at an even rate, each after the mean residence time.
   * Returns 0 before the first answer. If all endpoints have limits, no more requests can be placed
   * than these allow.
   */
  private double expectedWaitNanos(int slots, EndpointsSummary summary) {
    double untilFree =
        residenceTime.meanNanos().orElse(0) * slots / Math.max(1, summary.ownInFlight());
    return Math.max(untilFree, slots * NANOS_PER_SECOND / summary.permittedPerSecond());
  }

  /**
   * Stores the load that an endpoint reported with an answer. Ignores endpoints that are not
   * listed.
   *
   * @param endpoint endpoint that answered
   * @param report load that it reported
   * @param nowNanos current monotonic time, in nanoseconds
   */
  public void updateReportedLoad(EndpointId endpoint, ReportedLoad report, long nowNanos) {
    loads.find(endpoint).ifPresent(load -> load.updateReport(report, nowNanos));
  }

  /**
   * Excludes an endpoint for the time that it asked for when it rejected a request.
   *
   * @param endpoint endpoint
   * @param pause time for which no request is placed there
   * @param nowNanos current monotonic time, in nanoseconds
   */
  public void pause(EndpointId endpoint, Duration pause, long nowNanos) {
    loads.find(endpoint).ifPresent(load -> load.requestPause(nowNanos + pause.toNanos()));
  }

  /**
   * Records that a placed request is no longer in flight at its endpoint.
   *
   * @param endpoint endpoint that it was placed at
   * @param result how the request ended
   * @param placedNanos monotonic time at which it was placed, in nanoseconds
   * @param nowNanos current monotonic time, in nanoseconds
   */
  public void end(EndpointId endpoint, AttemptResult result, long placedNanos, long nowNanos) {
    if (result == AttemptResult.ANSWERED) {
      residenceTime.add(nowNanos - placedNanos);
    }
    loads
        .find(endpoint)
        .ifPresent(
            load -> {
              load.end();
              load.recordResult(result, nowNanos);
            });
  }

  /**
   * Records that an endpoint has ended or abandoned the prefill of a prompt.
   *
   * @param endpoint endpoint
   * @param promptTokens tokens of the prompt
   */
  public void endPrefill(EndpointId endpoint, long promptTokens) {
    loads.find(endpoint).ifPresent(load -> load.endPrefill(promptTokens));
  }

  /**
   * Records how long a unit of an answer took.
   *
   * @param endpoint endpoint that answered
   * @param nanosPerUnit nanoseconds per event of a stream, or for a whole answer
   * @param nowNanos current monotonic time, in nanoseconds
   */
  public void recordServiceTime(EndpointId endpoint, double nanosPerUnit, long nowNanos) {
    loads.find(endpoint).ifPresent(load -> load.addServiceTime(nanosPerUnit, nowNanos));
  }

  /**
   * Sets the number of requests that the peers have in flight at the endpoints.
   *
   * @param inFlight sum over the reporting peers by endpoint
   * @param isComplete whether all peers report
   * @param validUntilNanos monotonic time until which the sums count, in nanoseconds
   */
  public void setPeersInFlight(
      Map<EndpointId, Integer> inFlight, boolean isComplete, long validUntilNanos) {
    endpoints.forEach(
        (id, load) ->
            load.setPeersInFlight(inFlight.getOrDefault(id, 0), isComplete, validUntilNanos));
    choice.onPeersInFlight();
  }

  /**
   * Returns the number of requests that this instance has in flight at the endpoints.
   *
   * @return requests by endpoint; endpoints without any are omitted
   */
  public Map<EndpointId, Integer> inFlightByEndpoint() {
    Map<EndpointId, Integer> inFlight = new HashMap<>();
    endpoints.forEach(
        (id, load) -> {
          if (load.inFlight() > 0) {
            inFlight.put(id, load.inFlight());
          }
        });
    return inFlight;
  }

  /**
   * Returns the number of waiting requests.
   *
   * @return waiting requests
   */
  public int waiting() {
    return waiting.size();
  }

  /**
   * Returns whether the pool has an endpoint that is not leaving.
   *
   * @return whether such an endpoint is listed
   */
  public boolean hasAcceptingEndpoint() {
    return endpoints.values().stream().anyMatch(load -> !load.endpoint().isLeaving());
  }
}
