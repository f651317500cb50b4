package org.snipewick.rollout;

import static java.util.Objects.requireNonNull;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;

/**
 * Compares the responses of a new version with those of the old ones on the same route. A version
 * is convicted only if its bad responses are too many for chance, and still are without those of
 * the endpoint that had most of them.
 */
final class VersionComparison {
  /**
   * Natural logarithm of the chance, negated, below which a difference is no coincidence. Each
   * order is examined some hundred times.
   */
  static final double CONVICTION = 7;

  /** As {@link #CONVICTION}, for a difference that is a reason to wait. */
  static final double SUSPICION = 3.5;

  /** Part of the strength that must be left without the worst endpoint. */
  private static final double PART_WITHOUT_WORST = 0.25;

  private static final int MIN_BAD = 3;
  private static final int MIN_BAD_WITHOUT_WORST = 2;

  /** Failures that a good version may have by chance although the old ones had none. */
  private static final double MIN_EXPECTED_FAILURES = 0.02;

  /** Excess over the old versions that is not yet worth a rollback. */
  private static final double TOLERANCE = 1.5;

  /** Old responses of a route from which on its usual duration is known. */
  private static final int MIN_OLD_DURATIONS = 15;

  /** A response is slow if it takes several times as long as the old versions' median ... */
  private static final double SLOW_FACTOR = 2.4;

  /** ... and longer than nearly all of their responses, as hosts differ in speed. */
  private static final double SLOW_QUANTILE = 0.97;

  private static final double SLOW_QUANTILE_FACTOR = 1.25;
  private static final double EXPECTED_SLOW = 1.5 * (1 - SLOW_QUANTILE);

  /** Failures of an instance on old versions by which its own network is at fault. */
  private static final double FAULTY_INSTANCE_FAILURES = 0.2;

  private static final int MIN_ANSWERS_OF_INSTANCE = 5;

  private final Map<String, Evidence> evidence;
  private final Map<String, Tally> baseline;
  private final boolean hasSeveralEndpoints;

  /**
   * Creates a comparison.
   *
   * @param evidence evidence by instance
   * @param baseline tally of the old versions by route
   * @param hasSeveralEndpoints whether the new version has more than one endpoint
   */
  VersionComparison(
      Map<String, Evidence> evidence, Map<String, Tally> baseline, boolean hasSeveralEndpoints) {
    this.evidence = Map.copyOf(evidence);
    this.baseline = Map.copyOf(baseline);
    this.hasSeveralEndpoints = hasSeveralEndpoints;
  }

  /** Returns the sum of what instances saw of the old versions, by route. */
  static Map<String, Tally> baselineOf(Collection<Evidence> evidence) {
    Map<String, Tally> sum = new HashMap<>();
    evidence.forEach(
        seen -> seen.old().forEach((route, tally) -> sum.merge(route, tally, Tally::plus)));
    return sum;
  }

  private record Cell(String endpoint, long samples, long bad) {
    Cell {
      requireNonNull(endpoint, "endpoint");
    }
  }

  /**
   * Returns why the new version is bad.
   *
   * @param strength {@link #CONVICTION} or {@link #SUSPICION}
   * @return description; empty if it is not known to be bad
   */
  Optional<String> findFault(double strength) {
    Set<String> routes = new HashSet<>();
    evidence
        .values()
        .forEach(seen -> seen.fresh().values().forEach(t -> routes.addAll(t.keySet())));
    List<Cell> failuresOnAllRoutes = new ArrayList<>();
    double expectedOnAllRoutes = 0;
    for (String route : routes) {
      Tally old = baseline.getOrDefault(route, Tally.NONE);
      double expected = expectedFailures(old);
      List<Cell> failures = cells(route, tally -> new long[] {tally.answers(), tally.failures()});
      if (isExcessive(failures, expected, strength)) {
        return Optional.of("failures on route " + route + ": " + describe(failures));
      }
      failuresOnAllRoutes.addAll(failures);
      expectedOnAllRoutes += expected * samples(failures);
      Optional<String> slow = findSlowness(route, old, strength);
      if (slow.isPresent()) {
        return slow;
      }
    }
    double expected = expectedOnAllRoutes / Math.max(1, samples(failuresOnAllRoutes));
    return isExcessive(failuresOnAllRoutes, expected, strength)
        ? Optional.of("failures on all routes: " + describe(failuresOnAllRoutes))
        : Optional.empty();
  }

  private Optional<String> findSlowness(String route, Tally old, double strength) {
    if (Durations.count(old.times()) >= MIN_OLD_DURATIONS) {
      int limit = slowBucket(old.times());
      long oldSlow =
          Durations.countAbove(old.times(), limit) + Durations.countAbove(old.waiting(), limit);
      double expected = expectedSlow(oldSlow, Durations.count(old.times()));
      List<Cell> slow = cells(route, tally -> slowTimes(tally, limit));
      if (isExcessive(slow, expected, strength)) {
        return Optional.of("slow responses on route " + route + ": " + describe(slow));
      }
    }
    if (Durations.count(old.gaps()) >= MIN_OLD_DURATIONS) {
      int limit = slowBucket(old.gaps());
      double expected =
          expectedSlow(Durations.countAbove(old.gaps(), limit), Durations.count(old.gaps()));
      List<Cell> slow =
          cells(
              route,
              tally ->
                  new long[] {
                    Durations.count(tally.gaps()), Durations.countAbove(tally.gaps(), limit)
                  });
      if (isExcessive(slow, expected, strength)) {
        return Optional.of("slow streams on route " + route + ": " + describe(slow));
      }
    }
    return Optional.empty();
  }

  /** A request that still waits counts only once it is slow already. */
  private static long[] slowTimes(Tally tally, int limit) {
    long waiting = Durations.countAbove(tally.waiting(), limit);
    return new long[] {
      Durations.count(tally.times()) + waiting, Durations.countAbove(tally.times(), limit) + waiting
    };
  }

  private static int slowBucket(Map<Integer, Long> old) {
    double median = Durations.nanosOf(Durations.quantile(old, 0.5));
    double high = Durations.nanosOf(Durations.quantile(old, SLOW_QUANTILE));
    return Durations.bucketOf(Math.max(SLOW_FACTOR * median, SLOW_QUANTILE_FACTOR * high));
  }

  private static double expectedFailures(Tally old) {
    double observed = (old.failures() + Math.sqrt(old.failures())) / Math.max(1, old.answers());
    return Math.min(1, Math.max(MIN_EXPECTED_FAILURES, TOLERANCE * observed));
  }

  private static double expectedSlow(long slow, long all) {
    double observed = (slow + Math.sqrt(slow)) / Math.max(1, all);
    return Math.min(1, Math.max(EXPECTED_SLOW, TOLERANCE * observed));
  }

  /** Collects samples and bad ones of a route by endpoint, without those of faulty instances. */
  private List<Cell> cells(String route, Function<Tally, long[]> counts) {
    Map<String, long[]> byEndpoint = new HashMap<>();
    for (Evidence seen : evidence.values()) {
      if (!isFaulty(seen)) {
        seen.fresh()
            .forEach(
                (endpoint, tallies) ->
                    byEndpoint.merge(
                        endpoint,
                        counts.apply(tallies.getOrDefault(route, Tally.NONE)),
                        (first, second) ->
                            new long[] {first[0] + second[0], first[1] + second[1]}));
      }
    }
    List<Cell> cells = new ArrayList<>();
    byEndpoint.forEach((endpoint, count) -> cells.add(new Cell(endpoint, count[0], count[1])));
    return cells;
  }

  /** Returns whether the requests of an instance fail everywhere, unlike those of the others. */
  private boolean isFaulty(Evidence seen) {
    long answers = 0;
    long failures = 0;
    for (Tally tally : seen.old().values()) {
      answers += tally.answers();
      failures += tally.failures();
    }
    return evidence.size() > 1
        && answers >= MIN_ANSWERS_OF_INSTANCE
        && failures > FAULTY_INSTANCE_FAILURES * answers;
  }

  private boolean isExcessive(List<Cell> cells, double expected, double strength) {
    if (bad(cells) < MIN_BAD || excess(cells, expected) < strength) {
      return false;
    }
    if (!hasSeveralEndpoints) {
      return true;
    }
    Map<String, Long> badByEndpoint = new HashMap<>();
    cells.forEach(cell -> badByEndpoint.merge(cell.endpoint(), cell.bad(), Long::sum));
    String worst =
        badByEndpoint.entrySet().stream()
            .max(Map.Entry.comparingByValue())
            .map(Map.Entry::getKey)
            .orElse("");
    List<Cell> others = cells.stream().filter(cell -> !cell.endpoint().equals(worst)).toList();
    return bad(others) >= MIN_BAD_WITHOUT_WORST
        && excess(others, expected) >= strength * PART_WITHOUT_WORST;
  }

  /**
   * Returns the negated logarithm of a bound of the chance that as many samples are bad although
   * only the expected part should be (Chernoff).
   */
  private static double excess(List<Cell> cells, double expected) {
    long samples = samples(cells);
    double part = samples == 0 ? 0 : (double) bad(cells) / samples;
    if (part <= expected) {
      return 0;
    }
    double ofGood = part >= 1 ? 0 : (1 - part) * Math.log((1 - part) / (1 - expected));
    return samples * (part * Math.log(part / expected) + ofGood);
  }

  private static long samples(List<Cell> cells) {
    return cells.stream().mapToLong(Cell::samples).sum();
  }

  private static long bad(List<Cell> cells) {
    return cells.stream().mapToLong(Cell::bad).sum();
  }

  private static String describe(List<Cell> cells) {
    return bad(cells) + " of " + samples(cells);
  }
}
