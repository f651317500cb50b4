package org.snipewick.rollout;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.HashMap;
import java.util.Map;

/**
 * Counts of what endpoints did with the requests of one route.
 *
 * @param answers responses, with failures
 * @param failures responses with status 5xx and broken ones
 * @param times time to the answer, or to the first event of a stream, by bucket of {@link
 *     Durations}
 * @param gaps mean time between the events of a stream, by bucket
 * @param waiting requests that wait for a response at the moment, by the bucket of their age
 */
record Tally(
    @JsonProperty("n") long answers,
    @JsonProperty("f") long failures,
    @JsonProperty("t") Map<Integer, Long> times,
    @JsonProperty("g") Map<Integer, Long> gaps,
    @JsonProperty("w") Map<Integer, Long> waiting) {
  static final Tally NONE = new Tally(0, 0, Map.of(), Map.of(), Map.of());

  Tally {
    times = copy(times);
    gaps = copy(gaps);
    waiting = copy(waiting);
    if (failures < 0 || answers < failures) {
      throw new IllegalArgumentException("counts of answers are invalid");
    }
  }

  private static Map<Integer, Long> copy(Map<Integer, Long> counts) {
    if (counts == null) {
      return Map.of();
    }
    if (counts.size() > Durations.MAX_BUCKET + 1
        || counts.values().stream().anyMatch(count -> count < 0)) {
      throw new IllegalArgumentException("counts of durations are invalid");
    }
    return Map.copyOf(counts);
  }

  Tally plus(Tally other) {
    return new Tally(
        answers + other.answers,
        failures + other.failures,
        sum(times, other.times),
        sum(gaps, other.gaps),
        sum(waiting, other.waiting));
  }

  /** Returns what was counted since an earlier moment; what waits now remains. */
  Tally since(Tally earlier) {
    long failed = Math.max(0, failures - earlier.failures);
    return new Tally(
        Math.max(failed, answers - earlier.answers),
        failed,
        difference(times, earlier.times),
        difference(gaps, earlier.gaps),
        waiting);
  }

  static Map<Integer, Long> sum(Map<Integer, Long> first, Map<Integer, Long> second) {
    Map<Integer, Long> sum = new HashMap<>(first);
    second.forEach((bucket, count) -> sum.merge(bucket, count, Long::sum));
    return sum;
  }

  private static Map<Integer, Long> difference(Map<Integer, Long> now, Map<Integer, Long> earlier) {
    Map<Integer, Long> difference = new HashMap<>();
    now.forEach(
        (bucket, count) -> {
          long added = count - earlier.getOrDefault(bucket, 0L);
          if (added > 0) {
            difference.put(bucket, added);
          }
        });
    return difference;
  }
}
