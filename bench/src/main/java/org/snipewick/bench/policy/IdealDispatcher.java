package org.snipewick.bench.policy;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import org.snipewick.identity.Tier;
import org.snipewick.pool.policy.Ordering;

/**
 * Scheduler that reads the state of every engine without delay and the length of every response in
 * advance. It follows the product's rules (higher tiers first, fairness among teams, no request
 * started that cannot finish in time, none delayed past its deadline), so that the difference
 * between their results is the cost of incomplete information.
 */
final class IdealDispatcher implements Dispatcher {
  /** Failed starts in one tier after which a decision continues with the next tier. */
  private static final int MAX_MISSES_PER_TIER = 12;

  /** Number of decisions from one shedding of requests to the next. */
  private static final int DECISIONS_PER_SHEDDING = 10;

  /** Cost of an output token in prompt tokens. */
  private static final double OUTPUT_TOKEN_WEIGHT = 6;

  /** Weight of the delay that a request adds to the others on its engine. */
  private static final double ADDED_DELAY_WEIGHT = 0.5;

  private final Simulation simulation;
  private final Map<Tier, TreeSet<Queued>> queues = new EnumMap<>(Tier.class);
  private final Map<Tier, Ordering> orderings = new EnumMap<>(Tier.class);

  private long decisions;

  private record Queued(Workload.Request request, double position) {}

  IdealDispatcher(Simulation simulation) {
    this.simulation = simulation;
    for (Tier tier : Tier.values()) {
      queues.put(
          tier,
          new TreeSet<>(
              Comparator.comparingDouble(Queued::position)
                  .thenComparingLong(queued -> queued.request().work().id().sequence())));
      orderings.put(tier, new Ordering.FairAmongTeams());
    }
    simulation.timer.every(Duration.ofMillis(20), this::decide);
  }

  @Override
  public void onArrival(Workload.Request request) {
    Tier tier = request.work().tier();
    double cost = request.work().promptTokens() + OUTPUT_TOKEN_WEIGHT * request.outputTokens();
    double position = orderings.get(tier).assignPosition(request.work(), cost, request.atMillis());
    queues.get(tier).add(new Queued(request, position));
    decide();
  }

  @Override
  public void onKilled(String entry) {
    queues
        .values()
        .forEach(
            waiting ->
                waiting.removeIf(
                    queued -> queued.request().work().id().instance().value().equals(entry)));
  }

  /**
   * Starts the waiting requests that can start, higher tiers first. An engine on which a waiting
   * request could meet its deadline starts no requests of lower tiers.
   */
  private void decide() {
    List<EngineFake> reserved = new ArrayList<>();
    for (Tier tier : Tier.values()) {
      List<EngineFake> reservedByTier = new ArrayList<>();
      int misses = 0;
      for (Queued queued : List.copyOf(queues.get(tier))) {
        if (misses++ >= MAX_MISSES_PER_TIER) {
          break;
        }
        if (tryStart(queued, reserved)) {
          misses--;
        } else {
          reservedByTier.addAll(enginesMeetingDeadline(queued.request()));
        }
      }
      reserved.addAll(reservedByTier);
    }
    decisions++;
    if (decisions % DECISIONS_PER_SHEDDING == 0) {
      shed();
    }
  }

  /** Drops the requests that no engine could answer in time. */
  private void shed() {
    for (Tier tier : Tier.values()) {
      queues.get(tier).removeIf(queued -> enginesMeetingDeadline(queued.request()).isEmpty());
    }
  }

  /** Returns the engines that would answer a request in time if they served nothing else. */
  private List<EngineFake> enginesMeetingDeadline(Workload.Request request) {
    return simulation.engines.stream()
        .filter(engine -> canReach(engine, request))
        .filter(engine -> idleEngineMillis(engine, request) <= millisLeft(request))
        .toList();
  }

  private boolean tryStart(Queued queued, List<EngineFake> reserved) {
    Workload.Request request = queued.request();
    Optional<EngineFake> best =
        simulation.engines.stream()
            .filter(engine -> canReach(engine, request) && !reserved.contains(engine))
            .filter(engine -> engine.inFlight() < EngineFake.SLOTS)
            .filter(engine -> finishMillis(engine, request) <= millisLeft(request))
            .filter(engine -> keepsOtherDeadlines(engine, request))
            .min(Comparator.comparingDouble(engine -> cost(engine, request)));
    best.ifPresent(
        engine -> {
          queues.get(request.work().tier()).remove(queued);
          orderings.get(request.work().tier()).recordGrant(queued.position());
          simulation.start(request, engine, job -> {}, job -> decideSoon());
        });
    return best.isPresent();
  }

  private void decideSoon() {
    var unused = simulation.timer.after(Duration.ZERO, this::decide);
  }

  private boolean canReach(EngineFake engine, Workload.Request request) {
    return simulation.reaches(simulation.domainOf(request), engine);
  }

  private double millisLeft(Workload.Request request) {
    return Simulation.deadlineMillis(request) - simulation.nowMillis();
  }

  private double idleEngineMillis(EngineFake engine, Workload.Request request) {
    double promptTokens = engine.uncachedTokens(request.work());
    return engine.prefillMillis(promptTokens)
        + (EngineFake.prefillSteps(promptTokens) + request.outputTokens())
            * engine.decodeStepMillis(1);
  }

  private double finishMillis(EngineFake engine, Workload.Request request) {
    double promptTokens = engine.prefillBacklogTokens() + engine.uncachedTokens(request.work());
    return engine.prefillMillis(promptTokens)
        + (EngineFake.prefillSteps(promptTokens) + request.outputTokens() + 1)
            * engine.decodeStepMillis(engine.inFlight() + 1);
  }

  private boolean keepsOtherDeadlines(EngineFake engine, Workload.Request request) {
    double promptTokens = engine.prefillBacklogTokens() + engine.uncachedTokens(request.work());
    double stepMillis = engine.decodeStepMillis(engine.inFlight() + 1);
    return engine
        .jobs()
        .allMatch(
            job ->
                engine.prefillMillis(promptTokens)
                        + (job.request.outputTokens() - job.generatedTokens + 1) * stepMillis
                    <= millisLeft(job.request));
  }

  private double cost(EngineFake engine, Workload.Request request) {
    double prefillMillis = engine.prefillMillis(engine.uncachedTokens(request.work()));
    double addedStepMillis =
        engine.decodeStepMillis(engine.inFlight() + 1) - engine.decodeStepMillis(engine.inFlight());
    double addedDelayMillis =
        engine.inFlight() * (prefillMillis + request.outputTokens() * addedStepMillis);
    return finishMillis(engine, request) + ADDED_DELAY_WEIGHT * addedDelayMillis;
  }
}
