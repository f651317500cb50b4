package org.snipewick.bench.policy;

import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/** Dispatch from every entry instance to every engine at once, without a queue. */
final class Baselines implements Dispatcher {
  private static final Duration HOP = Duration.ofMillis(1);

  private final World world;
  private final Choice choice;
  private final UniformRandomProvider random;
  private final Map<String, Map<EngineFake, Integer>> outstanding = new HashMap<>();
  private final Map<EngineFake, Integer> reports = new HashMap<>();

  enum Choice {
    RANDOM,
    LEAST_OUTSTANDING,
    TWO_CHOICES
  }

  Baselines(World world, Choice choice, long seed) {
    this.world = world;
    this.choice = choice;
    this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed + 2);
    world.timer.every(Duration.ofMillis(world.benchCase.reportLagMillis()), this::report);
  }

  @Override
  public void arrive(Workload.Request request) {
    String domain = world.domainOf(request);
    List<EngineFake> reachable =
        world.engines.stream().filter(engine -> world.reaches(domain, engine)).toList();
    Map<EngineFake, Integer> own =
        outstanding.computeIfAbsent(
            request.work().id().instance().value(), entry -> new HashMap<>());
    EngineFake engine = choose(reachable, own);
    own.merge(engine, 1, Integer::sum);
    var unused =
        world.timer.after(
            HOP,
            () ->
                world.start(
                    request, engine, job -> {}, job -> own.merge(engine, -1, Integer::sum)));
  }

  private EngineFake choose(List<EngineFake> engines, Map<EngineFake, Integer> own) {
    return switch (choice) {
      case RANDOM -> any(engines);
      case LEAST_OUTSTANDING ->
          engines.stream()
              .min(Comparator.comparingInt(engine -> own.getOrDefault(engine, 0)))
              .orElseThrow();
      case TWO_CHOICES -> {
        EngineFake one = any(engines);
        EngineFake other = any(engines);
        yield reports.getOrDefault(one, 0) <= reports.getOrDefault(other, 0) ? one : other;
      }
    };
  }

  private EngineFake any(List<EngineFake> engines) {
    return engines.get(random.nextInt(engines.size()));
  }

  private void report() {
    world.engines.forEach(engine -> reports.put(engine, engine.inFlight()));
  }
}
