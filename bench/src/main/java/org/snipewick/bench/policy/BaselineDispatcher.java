package org.snipewick.bench.policy;

import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Dispatches each request on arrival, without a queue, from every entry instance to any engine that
 * it can reach.
 */
final class BaselineDispatcher implements Dispatcher {
  private static final Duration DISPATCH_LATENCY = Duration.ofMillis(1);

  private final Simulation simulation;
  private final Choice choice;
  private final UniformRandomProvider random;

  /** Requests in flight at each engine, by the entry instance that dispatched them. */
  private final Map<String, Map<EngineFake, Integer>> outstanding = new HashMap<>();

  /** Requests in flight at each engine as last reported, the same for all entry instances. */
  private final Map<EngineFake, Integer> reportedInFlight = new HashMap<>();

  /** How an engine is chosen; the names of the policies are derived from the constants. */
  enum Choice {
    RANDOM,
    LEAST_OUTSTANDING,
    TWO_CHOICES
  }

  BaselineDispatcher(Simulation simulation, Choice choice, long seed) {
    this.simulation = simulation;
    this.choice = choice;
    this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed + 2);
    simulation.timer.every(
        Duration.ofMillis(simulation.benchCase.reportLagMillis()), this::updateReports);
  }

  @Override
  public void onArrival(Workload.Request request) {
    String domain = simulation.domainOf(request);
    List<EngineFake> reachable =
        simulation.engines.stream().filter(engine -> simulation.reaches(domain, engine)).toList();
    Map<EngineFake, Integer> ownOutstanding =
        outstanding.computeIfAbsent(
            request.work().id().instance().value(), entry -> new HashMap<>());
    EngineFake engine = choose(reachable, ownOutstanding);
    ownOutstanding.merge(engine, 1, Integer::sum);
    var unused =
        simulation.timer.after(
            DISPATCH_LATENCY,
            () ->
                simulation.start(
                    request,
                    engine,
                    job -> {},
                    job -> ownOutstanding.merge(engine, -1, Integer::sum)));
  }

  private EngineFake choose(List<EngineFake> engines, Map<EngineFake, Integer> ownOutstanding) {
    return switch (choice) {
      case RANDOM -> pickRandom(engines);
      case LEAST_OUTSTANDING ->
          engines.stream()
              .min(Comparator.comparingInt(engine -> ownOutstanding.getOrDefault(engine, 0)))
              .orElseThrow();
      case TWO_CHOICES -> {
        EngineFake first = pickRandom(engines);
        EngineFake second = pickRandom(engines);
        yield reportedInFlight.getOrDefault(first, 0) <= reportedInFlight.getOrDefault(second, 0)
            ? first
            : second;
      }
    };
  }

  private EngineFake pickRandom(List<EngineFake> engines) {
    return engines.get(random.nextInt(engines.size()));
  }

  private void updateReports() {
    simulation.engines.forEach(engine -> reportedInFlight.put(engine, engine.inFlight()));
  }
}
