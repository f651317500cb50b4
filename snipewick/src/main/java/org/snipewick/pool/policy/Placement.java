package org.snipewick.pool.policy;

import static java.util.Objects.requireNonNull;

import java.util.List;
import java.util.Optional;

/**
 * Rule that chooses the endpoint for a request, among those with free capacity that would finish it
 * in time.
 */
public interface Placement {

  /**
   * Chooses an endpoint.
   *
   * @param candidates endpoints that the request may be granted
   * @param waiting waiting request
   * @param forecast forecasts
   * @param nowNanos current monotonic time, in nanoseconds
   * @return endpoint; empty if there are no candidates
   */
  Optional<EndpointModel> choose(
      List<EndpointModel> candidates, QueuedRequest waiting, Forecast forecast, long nowNanos);

  /**
   * Chooses the endpoint with the least cost: the forecast time to finish, plus weighted costs of a
   * missed deadline and of the delay of other requests. Cached prefixes reduce the cost by the
   * prefill time that they save, so no separate rule is needed to weigh a cached prefix against
   * load.
   *
   * @param othersDelayWeight weight of the total delay of other requests relative to the time to
   *     finish
   * @param missCostMillis cost of a missed deadline, in milliseconds
   */
  record LeastCost(double othersDelayWeight, double missCostMillis) implements Placement {

    @Override
    public Optional<EndpointModel> choose(
        List<EndpointModel> candidates, QueuedRequest waiting, Forecast forecast, long nowNanos) {
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

  /** Chooses the endpoint with the fewest requests in flight per slot, regardless of its cache. */
  record LeastInFlight() implements Placement {

    @Override
    public Optional<EndpointModel> choose(
        List<EndpointModel> candidates, QueuedRequest waiting, Forecast forecast, long nowNanos) {
      requireNonNull(waiting, "waiting");
      return candidates.stream().min(java.util.Comparator.comparingDouble(LeastInFlight::load));
    }

    private static double load(EndpointModel endpoint) {
      return (double) endpoint.batchSize() / endpoint.slots();
    }
  }
}
