package org.snipewick.standins.engine;

import java.util.EnumMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.snipewick.standins.engine.Generation.Status;

/** The latest requests of an engine and its counters over all requests. */
final class Generations {
  /** Number of requests above which the oldest one is evicted unless it is running. */
  private static final int MAX_GENERATIONS = 10_000;

  private final LinkedHashMap<Long, Generation> bySequence = new LinkedHashMap<>();
  private final Map<String, Generation> latestById = new TreeMap<>();
  private final Map<String, Integer> dispatchesById = new TreeMap<>();
  private final Map<String, Integer> dispatchesByKey = new TreeMap<>();
  private final EnumMap<Status, Double> evictedPrefilledTokens = new EnumMap<>(Status.class);
  private long sequence;

  /** Prefilled prompt tokens by the end of their requests; abandoned ones count as cancelled. */
  record PrefilledTokens(long completed, long cancelled, long broken) {}

  /** Content of {@code GET /control/truth}. */
  record Truth(
      Map<String, Integer> dispatches,
      Map<String, Integer> byKey,
      PrefilledTokens prefilledTokens,
      List<Orders.Received> orders,
      long latestAfterLeavingMillis) {}

  String newId() {
    return "unnamed-" + (sequence + 1);
  }

  void add(String id, Optional<String> key, Generation generation) {
    sequence++;
    bySequence.put(sequence, generation);
    latestById.put(id, generation);
    dispatchesById.merge(id, 1, Integer::sum);
    key.ifPresent(name -> dispatchesByKey.merge(name, 1, Integer::sum));
    evictOldest();
  }

  Optional<Generation> find(String id) {
    return Optional.ofNullable(latestById.get(id));
  }

  Truth truth(List<Orders.Received> orders, long latestAfterLeavingMillis) {
    PrefilledTokens tokens =
        new PrefilledTokens(
            prefilledTokens(Status.COMPLETED),
            prefilledTokens(Status.CANCELLED) + prefilledTokens(Status.ABANDONED),
            prefilledTokens(Status.BROKEN));
    return new Truth(dispatchesById, dispatchesByKey, tokens, orders, latestAfterLeavingMillis);
  }

  private long prefilledTokens(Status status) {
    double keptTokens =
        bySequence.values().stream()
            .filter(generation -> generation.status() == status)
            .mapToDouble(Generation::prefilledTokens)
            .sum();
    return Math.round(keptTokens + evictedPrefilledTokens.getOrDefault(status, 0.0));
  }

  private void evictOldest() {
    Iterator<Generation> oldest = bySequence.values().iterator();
    while (bySequence.size() > MAX_GENERATIONS) {
      Generation generation = oldest.next();
      if (generation.status() == Status.RUNNING) {
        return;
      }
      evictedPrefilledTokens.merge(generation.status(), generation.prefilledTokens(), Double::sum);
      latestById.remove(generation.id(), generation);
      oldest.remove();
    }
  }
}
