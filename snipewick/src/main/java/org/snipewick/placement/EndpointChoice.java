package org.snipewick.placement;

import static java.util.Objects.requireNonNull;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import java.util.stream.Stream;
import org.snipewick.identity.FailureDomain;

/** Choice of the endpoint at which a request is placed. Not thread-safe. */
final class EndpointChoice {
  /** Prompt tokens in prefill that delay an endpoint as much as all of its slots in use. */
  private static final double PREFILL_TOKENS_PER_FULL_LOAD = 20_000;

  private final FailureDomain domain;
  private final CandidateSample sample;
  private final RemoteShare remoteShare = new RemoteShare();
  private double remoteCostFactor = PoolPlacement.DEFAULT_REMOTE_COST_FACTOR;

  EndpointChoice(FailureDomain domain, RandomGenerator random) {
    this.domain = requireNonNull(domain, "domain");
    this.sample = new CandidateSample(random);
  }

  /** Sets the number of instances that choose among the endpoints, this one included. */
  void setInstances(int count) {
    sample.setInstances(count);
    remoteShare.setUnbounded();
  }

  /** Sets the number of brokers that choose instead of the instances, this one included. */
  void setBrokers(int count) {
    sample.setInstances(count);
    remoteShare.setBrokers(count);
  }

  /** Sets the factor by which endpoints in other failure domains cost more than local ones. */
  void setRemoteCostFactor(double factor) {
    remoteCostFactor = factor;
  }

  /** Returns whether brokers choose among the endpoints, of which this instance is one. */
  boolean isBroker() {
    return remoteShare.isBounded();
  }

  /** Handles newer counts of the peers' requests in flight. */
  void onPeersInFlight() {
    remoteShare.onPeersInFlight();
  }

  /** Returns whether a request was not sent to an endpoint before and its filter allows it. */
  static boolean maySendTo(EndpointLoad load, WaitingRequest request) {
    return !request.triedEndpoints().contains(load.endpoint().id())
        && request.filter().allows(load.endpoint());
  }

  /**
   * Chooses the available endpoint with a free slot and the lowest cost, then the lowest name,
   * among a sample of the local ones and a sample of the remote ones.
   */
  Optional<EndpointLoad> choose(
      Collection<EndpointLoad> endpoints,
      WaitingRequest request,
      EndpointPermits permits,
      long nowNanos) {
    List<EndpointLoad> local = new ArrayList<>();
    List<EndpointLoad> remote = new ArrayList<>();
    remoteShare.refresh(endpoints, nowNanos);
    for (EndpointLoad load : endpoints) {
      if (load.isAvailable(nowNanos)
          && maySendTo(load, request)
          && load.freeSlots(nowNanos) > 0
          && permits.isAvailable(load.endpoint().id(), nowNanos)) {
        if (!isRemote(load)) {
          local.add(load);
        } else if (remoteShare.isLeft(load.endpoint().domain())) {
          remote.add(load);
        }
      }
    }
    double meanNanosPerUnit = meanNanosPerUnit(endpoints);
    Optional<EndpointLoad> chosen =
        Stream.concat(
                sample.draw(local, endpoints.size()).stream(),
                sample.draw(remote, endpoints.size()).stream())
            .min(
                Comparator.comparingDouble(
                        (EndpointLoad load) -> cost(load, meanNanosPerUnit, nowNanos))
                    .thenComparing(load -> load.endpoint().id()));
    chosen
        .filter(this::isRemote)
        .ifPresent(load -> remoteShare.countPlaced(load.endpoint().domain()));
    return chosen;
  }

  /**
   * Estimates how long an endpoint would take to finish all its work including the new request,
   * relative to a fully loaded endpoint of mean speed; the estimate is raised for remote endpoints.
   */
  private double cost(EndpointLoad load, double meanNanosPerUnit, long nowNanos) {
    double slowness = load.meanNanosPerUnit().orElse(meanNanosPerUnit) / meanNanosPerUnit;
    double occupancy = (load.estimatedInFlight(nowNanos) + 1.0) / load.slots();
    double prefill = load.prefillTokens() / PREFILL_TOKENS_PER_FULL_LOAD;
    return slowness
        * load.momentarySlowness(nowNanos)
        * (occupancy + prefill)
        * (isRemote(load) ? remoteCostFactor : 1);
  }

  /** Returns the mean over all endpoints; 1 before the first answer, when it cancels out. */
  private static double meanNanosPerUnit(Collection<EndpointLoad> endpoints) {
    return endpoints.stream()
        .flatMapToDouble(load -> load.meanNanosPerUnit().stream())
        .average()
        .orElse(1);
  }

  private boolean isRemote(EndpointLoad load) {
    return !load.endpoint().domain().equals(domain);
  }
}
