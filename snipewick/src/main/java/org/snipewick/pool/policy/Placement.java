package org.snipewick.pool.policy;

import static java.util.Objects.requireNonNull;

import java.util.List;
import java.util.Optional;

/** Choice of an endpoint for a request among those that have room and would finish it in time. */
public interface Placement {

  /**
   * Chooses.
   *
   * @param candidates endpoints that may be granted
   * @param waiting request
   * @param forecast forecasts
   * @param nowNanos current monotonic time, in nanoseconds
   * @return endpoint, empty if there are no candidates
   */
  Optional<EndpointModel> choose(
      List<EndpointModel> candidates, WaitingRequest waiting, Forecast forecast, long nowNanos);

  /**
   * Takes the endpoint where the request finishes early and delays others little. Cached prefixes
   * count by the prefill that they save, so affinity gives way to load by itself.
   *
   * @param othersDelayWeight weight of the delay of others against the request's own finish
   * @param missCostMillis what a missed deadline counts for, in milliseconds
   */
  record LeastCost(double othersDelayWeight, double missCostMillis) implements Placement {

    @Override
    public Optional<EndpointModel> choose(
        List<EndpointModel> candidates, WaitingRequest waiting, Forecast forecast, long nowNanos) {
      EndpointModel best = null;
      double bestCost = Double.POSITIVE_INFINITY;
      for (EndpointModel candidate : candidates) {
        double cost =
            forecast.medianFinishMillis(candidate, waiting.work(), nowNanos)
                + missCostMillis * forecast.missProbability(candidate, waiting, nowNanos)
                + othersDelayWeight
                    * forecast.addedDelayMillis(candidate, waiting.work(), nowNanos);
        if (cost < bestCost) {
          best = candidate;
          bestCost = cost;
        }
      }
      return Optional.ofNullable(best);
    }
  }

  /** Takes the endpoint with the fewest requests in flight, whatever its cache holds. */
  record LeastInFlight() implements Placement {

    @Override
    public Optional<EndpointModel> choose(
        List<EndpointModel> candidates, WaitingRequest waiting, Forecast forecast, long nowNanos) {
      requireNonNull(waiting, "waiting");
      return candidates.stream().min(java.util.Comparator.comparingDouble(LeastInFlight::load));
    }

    private static double load(EndpointModel endpoint) {
      return (double) endpoint.batchSize() / endpoint.slots();
    }
  }
}
