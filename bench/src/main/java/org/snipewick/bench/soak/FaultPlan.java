package org.snipewick.bench.soak;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.Function;
import org.snipewick.bench.cluster.Cluster;
import org.snipewick.bench.cluster.Links;

/**
 * Faults of a run in order of their begin; the same seed gives the same plan.
 *
 * @param faults planned faults
 */
record FaultPlan(List<Planned> faults) {
  /** Shorter than most faults last, so that they overlap. */
  private static final int MEAN_GAP_MILLIS = 1_500;

  private static final int SHORTEST_MILLIS = 300;

  /** Longer than the time after which an instance counts as dead, and than a lease. */
  private static final int LONGEST_MILLIS = 14_000;

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
  private static final List<Function<Choice, Fault>> KINDS =
      List.of(
          choice -> new Fault.Kill(choice.of(SoakCluster.INSTANCES), choice.coin()),
          choice -> new Fault.PlannedStop(choice.of(SoakCluster.INSTANCES)),
          choice -> new Fault.Pause(choice.of(SoakCluster.INSTANCES)),
          choice -> new Fault.Pause(choice.of(SoakCluster.ENDPOINTS)),
          FaultPlan::cut,
          choice -> new Fault.Misbehaviour(SoakCluster.PLATFORM, choice.of(PLATFORM_FAULTS)),
          choice ->
              new Fault.Misbehaviour(choice.of(SoakCluster.ENDPOINTS), choice.of(ENDPOINT_FAULTS)));

  FaultPlan {
    faults = List.copyOf(faults);
  }

  /**
   * One fault of a plan.
   *
   * @param at begin, from the start of the run
   * @param lasts time until its end
   * @param fault what happens
   */
  record Planned(Duration at, Duration lasts, Fault fault) {}

  static FaultPlan of(long seed, Duration length) {
    Choice choice = new Choice(new Random(seed));
    List<Planned> faults = new ArrayList<>();
    long at = choice.millis(0, MEAN_GAP_MILLIS);
    while (at < length.toMillis()) {
      Duration lasts = Duration.ofMillis(choice.millis(SHORTEST_MILLIS, LONGEST_MILLIS));
      faults.add(new Planned(Duration.ofMillis(at), lasts, choice.of(KINDS).apply(choice)));
      at += choice.millis(0, 2 * MEAN_GAP_MILLIS);
    }
    return new FaultPlan(faults);
  }

  private static Fault cut(Choice choice) {
    String one = Cluster.domain(choice.of(SoakCluster.INSTANCES));
    String other = choice.of(List.of("wien-a", "linz", Links.PLATFORM));
    return new Fault.LinkCut(
        one, one.equals(other) ? Links.PLATFORM : other, choice.of(List.of(Fault.Cut.values())));
  }

  private record Choice(Random random) {
    <T> T of(List<T> values) {
      return values.get(random.nextInt(values.size()));
    }

    boolean coin() {
      return random.nextBoolean();
    }

    long millis(int least, int most) {
      return random.nextInt(least, most);
    }
  }
}
