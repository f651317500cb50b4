package org.snipewick.placement;

import static java.util.Objects.requireNonNull;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.random.RandomGenerator;

/**
 * Random samples of the endpoints among which an instance chooses. All instances choose by nearly
 * the same counts, which are some hundred milliseconds old; if each could choose any endpoint, many
 * would choose the same one until its count changes. Not thread-safe.
 */
final class CandidateSample {
  /** Instances of a fleet in which counts are fresh enough to choose among all endpoints. */
  private static final double SMALL_FLEET_INSTANCES = 16;

  /** With two candidates, the more loaded one is avoided. */
  private static final int MIN_CANDIDATES = 2;

  private final RandomGenerator random;
  private int instances = 1;

  CandidateSample(RandomGenerator random) {
    this.random = requireNonNull(random, "random");
  }

  /** Sets the number of instances that share the endpoints, this one included. */
  void setInstances(int count) {
    instances = Math.max(1, count);
  }

  /**
   * Draws candidates.
   *
   * @param candidates endpoints among which to choose
   * @param poolSize number of all endpoints of the pool
   * @return all candidates in a small fleet, otherwise a random part of them
   */
  <T> List<T> draw(List<T> candidates, int poolSize) {
    // Both the number of instances that choose and the age of their counts grow with the fleet.
    double share = Math.pow(SMALL_FLEET_INSTANCES / instances, 2);
    int size = Math.max(MIN_CANDIDATES, (int) Math.min(poolSize, Math.ceil(poolSize * share)));
    if (size >= candidates.size()) {
      return candidates;
    }
    List<T> drawn = new ArrayList<>(candidates);
    for (int index = 0; index < size; index++) {
      Collections.swap(drawn, index, index + random.nextInt(drawn.size() - index));
    }
    return drawn.subList(0, size);
  }
}
