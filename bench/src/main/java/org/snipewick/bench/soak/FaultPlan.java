package org.snipewick.bench.soak;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.Function;
import org.snipewick.bench.cluster.Cluster;
import org.snipewick.bench.cluster.Links;

/**
 * Faults of a run in order of their start; the same seed gives the same plan.
 *
 * @param faults planned faults
 */
record FaultPlan(List<Planned> faults) {
  /** Shorter than most faults, so that faults overlap. */
  private static final int MEAN_GAP_MILLIS = 1_500;

  private static final int MIN_FAULT_MILLIS = 300;

  /** Longer than the time after which an instance is declared dead, and longer than a lease. */
  private static final int MAX_FAULT_MILLIS = 14_000;

  private static final List<String> PLATFORM_FAULTS =
      List.of(
          "{\"outage\":true}",
          "{\"hang\":true}",
          "{\"loseAnswers\":true}",
          "{\"delayMillis\":700}",
          "{\"staleReads\":true,\"staleMillis\":5000}");
  private static final List<String> ENDPOINT_FAULTS =
      List.of(
          "{\"outage\":true}",
          "{\"hang\":true}",
          "{\"loseAnswers\":true}",
          "{\"slowFactor\":20}",
          "{\"breakStreamAfter\":3}",
          "{\"refuse\":true}");
  private static final List<Function<RandomChoice, Fault>> FAULT_KINDS =
      List.of(
          choice -> new Fault.Kill(choice.of(SoakCluster.INSTANCES), choice.coinFlip()),
          choice -> new Fault.PlannedStop(choice.of(SoakCluster.INSTANCES)),
          choice -> new Fault.Pause(choice.of(SoakCluster.INSTANCES)),
          choice -> new Fault.Pause(choice.of(SoakCluster.ENDPOINTS)),
          FaultPlan::randomLinkCut,
          choice -> new Fault.Misbehaviour(SoakCluster.PLATFORM, choice.of(PLATFORM_FAULTS)),
          choice ->
              new Fault.Misbehaviour(choice.of(SoakCluster.ENDPOINTS), choice.of(ENDPOINT_FAULTS)));

  FaultPlan {
    faults = List.copyOf(faults);
  }

  /**
   * One fault of a plan.
   *
   * @param start time of injection after the start of the run
   * @param duration time until the fault is removed
   * @param fault fault to inject
   */
  record Planned(Duration start, Duration duration, Fault fault) {}

  /** Returns a random plan whose faults start within a length of time. */
  static FaultPlan of(long seed, Duration length) {
    RandomChoice choice = new RandomChoice(new Random(seed));
    List<Planned> faults = new ArrayList<>();
    long startMillis = choice.millis(0, MEAN_GAP_MILLIS);
    while (startMillis < length.toMillis()) {
      Duration duration = Duration.ofMillis(choice.millis(MIN_FAULT_MILLIS, MAX_FAULT_MILLIS));
      faults.add(
          new Planned(
              Duration.ofMillis(startMillis), duration, choice.of(FAULT_KINDS).apply(choice)));
      startMillis += choice.millis(0, 2 * MEAN_GAP_MILLIS);
    }
    return new FaultPlan(faults);
  }

  private static Fault randomLinkCut(RandomChoice choice) {
    String one = Cluster.domain(choice.of(SoakCluster.INSTANCES));
    String other = choice.of(List.of("wien-a", "linz", Links.PLATFORM));
    return new Fault.LinkCut(
        one, one.equals(other) ? Links.PLATFORM : other, choice.of(List.of(Fault.Cut.values())));
  }

  private record RandomChoice(Random random) {
    <T> T of(List<T> values) {
      return values.get(random.nextInt(values.size()));
    }

    boolean coinFlip() {
      return random.nextBoolean();
    }

    long millis(int minimum, int maximum) {
      return random.nextInt(minimum, maximum);
    }
  }
}
