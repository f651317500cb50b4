package org.snipewick.placement;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.snipewick.identity.EndpointId;
import org.snipewick.identity.FailureDomain;
import org.snipewick.identity.InstanceId;
import org.snipewick.identity.Tier;
import org.snipewick.roster.RosterEndpoint;

/**
 * Queue of one pool at one instance, in front of endpoints that know no tiers and admit in order of
 * arrival: requests wait here, not there, and go out as places become free. Not safe for use by
 * several threads.
 */
public final class PoolPlacement {
  /** Half of the time is kept for the endpoint's own queue and the prompt. */
  private static final double USABLE_SHARE_OF_TIME_LEFT = 0.5;

  /** Prompts that are being read hold up an endpoint like a full set of places. */
  private static final double TOKENS_LIKE_ALL_PLACES = 20_000;

  private static final Duration MIN_RETRY_AFTER = Duration.ofMillis(200);
  private static final Duration MAX_RETRY_AFTER = Duration.ofSeconds(5);

  /** A place in another domain is worth its way if the own ones are a third fuller. */
  private static final double FOREIGN_FACTOR = 1.3;

  /** Several reports long. */
  private static final long REPORT_VALIDITY_NANOS = Duration.ofSeconds(1).toNanos();

  private final FailureDomain domain;
  private final QueueOrder order;
  private final Map<EndpointId, EndpointLoad> endpoints = new HashMap<>();
  private final List<WaitingRequest> waiting = new ArrayList<>();
  private final Map<InstanceId, PeerPresence> peers = new HashMap<>();
  private final ResidenceTime residence = new ResidenceTime();

  private PoolPlacement(FailureDomain domain, QueueOrder order) {
    this.domain = requireNonNull(domain, "domain");
    this.order = requireNonNull(order, "order");
  }

  /**
   * Creates an empty queue without endpoints.
   *
   * @param domain failure domain of the instance, whose endpoints are preferred
   * @param order order of the waiting requests
   * @return queue
   */
  public static PoolPlacement of(FailureDomain domain, QueueOrder order) {
    return new PoolPlacement(domain, order);
  }

  /**
   * Takes the endpoints of the pool as they are listed now.
   *
   * @param listed endpoints, those that are leaving too
   */
  public void update(Collection<RosterEndpoint> listed) {
    Set<EndpointId> missing = new HashSet<>(endpoints.keySet());
    for (RosterEndpoint endpoint : listed) {
      missing.remove(endpoint.id());
      EndpointLoad known = endpoints.get(endpoint.id());
      if (known == null) {
        endpoints.put(endpoint.id(), new EndpointLoad(endpoint));
      } else {
        known.update(endpoint);
      }
    }
    missing.forEach(endpoints::remove);
  }

  /**
   * Adds a request, which then waits for {@link #decide}.
   *
   * @param request request
   */
  public void add(WaitingRequest request) {
    waiting.add(requireNonNull(request, "request"));
  }

  /**
   * Takes a request out whose caller left or whose time is over.
   *
   * @param id identifier of the request
   * @return whether it was still waiting
   */
  public boolean remove(String id) {
    return waiting.removeIf(request -> request.id().equals(id));
  }

  /**
   * Decides about all waiting requests for which something can be decided now.
   *
   * @param nowNanos monotonic time
   * @return decisions in their order; requests without one go on waiting
   */
  public List<PlacementDecision> decide(long nowNanos) {
    if (waiting.isEmpty()) {
      return List.of();
    }
    List<PlacementDecision> decisions = new ArrayList<>();
    waiting.sort(order.at(nowNanos));
    Iterator<WaitingRequest> each = waiting.iterator();
    int ahead = 0;
    while (each.hasNext()) {
      WaitingRequest request = each.next();
      Optional<PlacementDecision> decision = decide(request, ahead, nowNanos);
      if (decision.isPresent()) {
        each.remove();
        decisions.add(decision.get());
      } else {
        ahead++;
      }
    }
    return decisions;
  }

  private Optional<PlacementDecision> decide(WaitingRequest request, int ahead, long nowNanos) {
    if (!hasCandidate(request)) {
      return Optional.of(refused(request, PlacementDecision.Reason.NO_ENDPOINT, ahead));
    }
    if (ahead == 0) {
      Optional<EndpointLoad> free = choose(request, nowNanos);
      if (free.isPresent()) {
        return Optional.of(placed(request, free.get(), nowNanos));
      }
    }
    if (nowNanos - request.arrivedNanos() > usableNanos(request, request.arrivedNanos())) {
      return Optional.of(refused(request, PlacementDecision.Reason.WAITED_TOO_LONG, ahead));
    }
    if (expectedWaitNanos(ahead + 1) > usableNanos(request, nowNanos)) {
      return Optional.of(refused(request, PlacementDecision.Reason.QUEUE_TOO_LONG, ahead));
    }
    return Optional.empty();
  }

  private boolean hasCandidate(WaitingRequest request) {
    return endpoints.values().stream()
        .anyMatch(load -> !load.endpoint().isLeaving() && mayTake(load, request));
  }

  private static boolean mayTake(EndpointLoad load, WaitingRequest request) {
    return !request.tried().contains(load.endpoint().id());
  }

  /** Chooses the endpoint that is likely to be done first with what it then has. */
  private Optional<EndpointLoad> choose(WaitingRequest request, long nowNanos) {
    double meanPace = meanPace();
    return endpoints.values().stream()
        .filter(load -> load.takesRequests(nowNanos) && mayTake(load, request))
        .filter(load -> load.free(nowNanos) > 0)
        .min(
            Comparator.comparingDouble((EndpointLoad load) -> cost(load, meanPace, nowNanos))
                .thenComparing(load -> load.endpoint().id()));
  }

  private double cost(EndpointLoad load, double meanPace, long nowNanos) {
    double slowness = load.pace().orElse(meanPace) / meanPace;
    double occupancy = (load.present(nowNanos) + 1.0) / load.slots();
    double reading = load.tokensInReading() / TOKENS_LIKE_ALL_PLACES;
    return slowness * (occupancy + reading) * (isForeign(load) ? FOREIGN_FACTOR : 1);
  }

  private double meanPace() {
    return endpoints.values().stream()
        .flatMapToDouble(load -> load.pace().stream())
        .average()
        .orElse(1);
  }

  private boolean isForeign(EndpointLoad load) {
    return !load.endpoint().domain().equals(domain);
  }

  private PlacementDecision placed(WaitingRequest request, EndpointLoad load, long nowNanos) {
    int present = load.present(nowNanos);
    load.begin(request.promptTokens());
    return new PlacementDecision.Placed(request, load.endpoint(), present, waiting.size() - 1);
  }

  private PlacementDecision refused(
      WaitingRequest request, PlacementDecision.Reason reason, int ahead) {
    return new PlacementDecision.Refused(request, reason, retryAfter(ahead));
  }

  private long usableNanos(WaitingRequest request, long nowNanos) {
    return (long) ((request.lastStartNanos() - nowNanos) * USABLE_SHARE_OF_TIME_LEFT);
  }

  /** Expects that as many places become free as own requests end, each after the mean time. */
  private double expectedWaitNanos(int places) {
    int present = endpoints.values().stream().mapToInt(EndpointLoad::own).sum();
    return residence.meanNanos().orElse(0) * places / Math.max(1, present);
  }

  /** Returns the time after which those who wait now have got their places. */
  private Duration retryAfter(int ahead) {
    Duration wait = Duration.ofNanos((long) expectedWaitNanos(ahead + 1));
    if (wait.compareTo(MIN_RETRY_AFTER) < 0) {
      return MIN_RETRY_AFTER;
    }
    return wait.compareTo(MAX_RETRY_AFTER) > 0 ? MAX_RETRY_AFTER : wait;
  }

  /**
   * Takes the load that came with an answer.
   *
   * @param endpoint endpoint that answered
   * @param load what it told
   * @param nowNanos monotonic time
   */
  public void report(EndpointId endpoint, ReportedLoad load, long nowNanos) {
    EndpointLoad known = endpoints.get(endpoint);
    if (known != null) {
      known.report(load, nowNanos);
    }
  }

  /**
   * Notes that a placed request no longer is at its endpoint.
   *
   * @param endpoint endpoint that it was placed at
   * @param how how it ended
   * @param placedNanos monotonic time at which it was placed
   * @param nowNanos monotonic time
   */
  public void end(EndpointId endpoint, Ended how, long placedNanos, long nowNanos) {
    if (how == Ended.ANSWERED) {
      residence.count(nowNanos - placedNanos);
    }
    EndpointLoad known = endpoints.get(endpoint);
    if (known != null) {
      known.end(how, nowNanos);
    }
  }

  /**
   * Notes that an endpoint has read a prompt, or reads it no longer.
   *
   * @param endpoint endpoint
   * @param promptTokens tokens of the prompt
   */
  public void promptRead(EndpointId endpoint, long promptTokens) {
    EndpointLoad known = endpoints.get(endpoint);
    if (known != null) {
      known.promptRead(promptTokens);
    }
  }

  /**
   * Takes how long a unit of an answer took.
   *
   * @param endpoint endpoint that answered
   * @param nanosPerUnit nanoseconds for each event of a stream, or for a whole answer
   */
  public void pace(EndpointId endpoint, double nanosPerUnit) {
    EndpointLoad known = endpoints.get(endpoint);
    if (known != null) {
      known.pace(nanosPerUnit);
    }
  }

  /** What another instance has told. */
  private record PeerPresence(long heardNanos, Map<EndpointId, Integer> present) {}

  /**
   * Sets which other instances send requests to the endpoints.
   *
   * @param instances other instances
   */
  public void peers(Set<InstanceId> instances) {
    peers.keySet().retainAll(instances);
    instances.forEach(
        instance -> peers.putIfAbsent(instance, new PeerPresence(Long.MIN_VALUE, Map.of())));
  }

  /**
   * Takes what another instance has at the endpoints.
   *
   * @param instance other instance
   * @param present requests by endpoint
   * @param nowNanos monotonic time
   */
  public void peerPresent(InstanceId instance, Map<EndpointId, Integer> present, long nowNanos) {
    peers.put(instance, new PeerPresence(nowNanos, present));
    Map<EndpointId, Integer> sums = new HashMap<>();
    boolean byAll = true;
    for (PeerPresence peer : peers.values()) {
      boolean isSilent =
          peer.heardNanos() == Long.MIN_VALUE
              || nowNanos - peer.heardNanos() > REPORT_VALIDITY_NANOS;
      byAll &= !isSilent;
      if (!isSilent) {
        peer.present().forEach((endpoint, count) -> sums.merge(endpoint, count, Integer::sum));
      }
    }
    boolean allHaveTold = byAll;
    endpoints.forEach((id, load) -> load.told(sums.getOrDefault(id, 0), allHaveTold));
  }

  /**
   * Counts own requests at the endpoints.
   *
   * @return requests by endpoint; endpoints without any are left out
   */
  public Map<EndpointId, Integer> ownPresent() {
    Map<EndpointId, Integer> present = new HashMap<>();
    endpoints.forEach(
        (id, load) -> {
          if (load.own() > 0) {
            present.put(id, load.own());
          }
        });
    return present;
  }

  /**
   * Counts the requests that wait.
   *
   * @return waiting requests
   */
  public int waiting() {
    return waiting.size();
  }

  /**
   * Counts the requests that wait in a tier or above.
   *
   * @param tier lowest tier that counts
   * @return waiting requests
   */
  public long waitingUpTo(Tier tier) {
    return waiting.stream().filter(request -> !tier.isHigherThan(request.tier())).count();
  }

  /**
   * Tells whether there are endpoints that take requests.
   *
   * @return whether an endpoint is listed that is not leaving
   */
  public boolean hasEndpoints() {
    return endpoints.values().stream().anyMatch(load -> !load.endpoint().isLeaving());
  }
}
