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

  /**
   * Endpoints in other failure domains are chosen only if the local ones are about a third more
   * loaded.
   */
  private static final double REMOTE_COST_FACTOR = 1.3;

  private final FailureDomain domain;
  private final CandidateSample sample;

  EndpointChoice(FailureDomain domain, RandomGenerator random) {
    this.domain = requireNonNull(domain, "domain");
    this.sample = new CandidateSample(random);
  }

  /** Sets the number of instances that choose among the endpoints, this one included. */
  void setInstances(int count) {
    sample.setInstances(count);
  }

  /** Returns whether a request was not sent to an endpoint before. */
  static boolean maySendTo(EndpointLoad load, WaitingRequest request) {
    return !request.triedEndpoints().contains(load.endpoint().id());
  }

  /**
   * Chooses the available endpoint with a free slot and the lowest cost, then the lowest name,
   * among a sample of the local ones and a sample of the remote ones.
   */
  Optional<EndpointLoad> choose(
      Collection<EndpointLoad> endpoints, WaitingRequest request, long nowNanos) {
    List<EndpointLoad> local = new ArrayList<>();
    List<EndpointLoad> remote = new ArrayList<>();
    for (EndpointLoad load : endpoints) {
      if (load.isAvailable(nowNanos) && maySendTo(load, request) && load.freeSlots(nowNanos) > 0) {
        (isRemote(load) ? remote : local).add(load);
      }
    }
    double meanNanosPerUnit = meanNanosPerUnit(endpoints);
    return Stream.concat(
            sample.draw(local, endpoints.size()).stream(),
            sample.draw(remote, endpoints.size()).stream())
        .min(
            Comparator.comparingDouble(
                    (EndpointLoad load) -> cost(load, meanNanosPerUnit, nowNanos))
                .thenComparing(load -> load.endpoint().id()));
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
        * (isRemote(load) ? REMOTE_COST_FACTOR : 1);
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
