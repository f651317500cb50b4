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
 * Scheduler that sees every engine's true state without delay and knows every answer's length. It
 * keeps the product's rules (higher tiers first, teams served in turn, nothing started that cannot
 * finish, nothing delayed past its deadline), so that the distance to it is the price of not
 * knowing.
 */
final class Ideal implements Dispatcher {
  private static final int TRIES_PER_TIER = 12;
  private static final int SHED_TICKS = 10;
  private static final double OUTPUT_WEIGHT = 6;
  private static final double OTHERS_WEIGHT = 0.5;

  private final World world;
  private final Map<Tier, TreeSet<Queued>> queue = new EnumMap<>(Tier.class);
  private final Map<Tier, Ordering> ordering = new EnumMap<>(Tier.class);

  private long ticks;

  private record Queued(Workload.Request request, double order) {}

  Ideal(World world) {
    this.world = world;
    for (Tier tier : Tier.values()) {
      queue.put(
          tier,
          new TreeSet<>(
              Comparator.comparingDouble(Queued::order)
                  .thenComparingLong(queued -> queued.request().work().id().sequence())));
      ordering.put(tier, new Ordering.FairAmongTeams());
    }
    world.timer.every(Duration.ofMillis(20), this::decide);
  }

  @Override
  public void arrive(Workload.Request request) {
    Tier tier = request.work().tier();
    double cost = request.work().promptTokens() + OUTPUT_WEIGHT * request.outputTokens();
    double order = ordering.get(tier).place(request.work(), cost, request.atMillis());
    queue.get(tier).add(new Queued(request, order));
    decide();
  }

  @Override
  public void killed(String entry) {
    queue
        .values()
        .forEach(
            waiting ->
                waiting.removeIf(
                    queued -> queued.request().work().id().instance().value().equals(entry)));
  }

  private void decide() {
    List<EngineFake> taken = new ArrayList<>();
    for (Tier tier : Tier.values()) {
      List<EngineFake> wanted = new ArrayList<>();
      int misses = 0;
      for (Queued queued : List.copyOf(queue.get(tier))) {
        if (misses++ >= TRIES_PER_TIER) {
          break;
        }
        if (start(queued, taken)) {
          misses--;
        } else {
          wanted.addAll(fitting(queued.request()));
        }
      }
      taken.addAll(wanted);
    }
    ticks++;
    if (ticks % SHED_TICKS == 0) {
      shed();
    }
  }

  private void shed() {
    for (Tier tier : Tier.values()) {
      queue.get(tier).removeIf(queued -> fitting(queued.request()).isEmpty());
    }
  }

  /** Lists the engines that would answer a request in time if they did nothing else. */
  private List<EngineFake> fitting(Workload.Request request) {
    return world.engines.stream()
        .filter(engine -> canServe(engine, request))
        .filter(engine -> aloneMillis(engine, request) <= left(request))
        .toList();
  }

  private boolean start(Queued queued, List<EngineFake> taken) {
    Workload.Request request = queued.request();
    Optional<EngineFake> best =
        world.engines.stream()
            .filter(engine -> canServe(engine, request) && !taken.contains(engine))
            .filter(engine -> engine.inFlight() < EngineFake.SLOTS)
            .filter(engine -> finishMillis(engine, request) <= left(request))
            .filter(engine -> sparesOthers(engine, request))
            .min(Comparator.comparingDouble(engine -> cost(engine, request)));
    best.ifPresent(
        engine -> {
          queue.get(request.work().tier()).remove(queued);
          ordering.get(request.work().tier()).granted(queued.order());
          world.start(request, engine, job -> {}, job -> decideSoon());
        });
    return best.isPresent();
  }

  private void decideSoon() {
    var unused = world.timer.after(Duration.ZERO, this::decide);
  }

  private boolean canServe(EngineFake engine, Workload.Request request) {
    return world.reaches(world.domainOf(request), engine);
  }

  private double left(Workload.Request request) {
    return World.deadlineMillis(request) - world.nowMillis();
  }

  private double aloneMillis(EngineFake engine, Workload.Request request) {
    double prompt = engine.uncachedTokens(request.work());
    return engine.prefillMillis(prompt)
        + (EngineFake.steps(prompt) + request.outputTokens()) * engine.tokenMillis(1);
  }

  private double finishMillis(EngineFake engine, Workload.Request request) {
    double prompt = engine.prefillBacklog() + engine.uncachedTokens(request.work());
    return engine.prefillMillis(prompt)
        + (EngineFake.steps(prompt) + request.outputTokens() + 1)
            * engine.tokenMillis(engine.inFlight() + 1);
  }

  private boolean sparesOthers(EngineFake engine, Workload.Request request) {
    double prompt = engine.prefillBacklog() + engine.uncachedTokens(request.work());
    double token = engine.tokenMillis(engine.inFlight() + 1);
    return engine
        .jobs()
        .allMatch(
            job ->
                engine.prefillMillis(prompt) + (job.request.outputTokens() - job.tokens + 1) * token
                    <= left(job.request));
  }

  private double cost(EngineFake engine, Workload.Request request) {
    double prefill = engine.prefillMillis(engine.uncachedTokens(request.work()));
    double slower =
        engine.tokenMillis(engine.inFlight() + 1) - engine.tokenMillis(engine.inFlight());
    double others = engine.inFlight() * (prefill + request.outputTokens() * slower);
    return finishMillis(engine, request) + OTHERS_WEIGHT * others;
  }
}
