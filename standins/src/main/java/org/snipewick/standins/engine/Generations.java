package org.snipewick.standins.engine;

import java.util.EnumMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.snipewick.standins.engine.Generation.Fate;

/** Requests that the engine remembers, with what it counts about all of them. */
final class Generations {
  private static final int MAX_KEPT = 10_000;

  private final LinkedHashMap<Long, Generation> kept = new LinkedHashMap<>();
  private final Map<String, Generation> latestById = new TreeMap<>();
  private final Map<String, Integer> dispatches = new TreeMap<>();
  private final Map<String, Integer> byKey = new TreeMap<>();
  private final EnumMap<Fate, Double> forgottenTokens = new EnumMap<>(Fate.class);
  private long sequence;

  record PrefilledTokens(long completed, long cancelled, long broken) {}

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
    kept.put(sequence, generation);
    latestById.put(id, generation);
    dispatches.merge(id, 1, Integer::sum);
    key.ifPresent(name -> byKey.merge(name, 1, Integer::sum));
    forgetOldest();
  }

  Optional<Generation> find(String id) {
    return Optional.ofNullable(latestById.get(id));
  }

  Truth truth(List<Orders.Received> orders, long latestAfterLeavingMillis) {
    PrefilledTokens tokens =
        new PrefilledTokens(
            tokens(Fate.COMPLETED),
            tokens(Fate.CANCELLED) + tokens(Fate.ABANDONED),
            tokens(Fate.BROKEN));
    return new Truth(dispatches, byKey, tokens, orders, latestAfterLeavingMillis);
  }

  private long tokens(Fate fate) {
    double present =
        kept.values().stream()
            .filter(generation -> generation.fate() == fate)
            .mapToDouble(Generation::prefilledTokens)
            .sum();
    return Math.round(present + forgottenTokens.getOrDefault(fate, 0.0));
  }

  private void forgetOldest() {
    Iterator<Generation> oldest = kept.values().iterator();
    while (kept.size() > MAX_KEPT) {
      Generation generation = oldest.next();
      if (generation.fate() == Fate.RUNNING) {
        return;
      }
      forgottenTokens.merge(generation.fate(), generation.prefilledTokens(), Double::sum);
      latestById.remove(generation.id(), generation);
      oldest.remove();
    }
  }
}
