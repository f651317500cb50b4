package org.snipewick.quarantine;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Stream;
import org.snipewick.identity.EndpointId;

/**
 * What one instance knows of parts of prompts: crashes of endpoints that they may have caused, and
 * parts that endpoints answered. Immutable and bounded in size.
 *
 * @param crashes crashes, in the order in which they were recorded
 * @param answeredEpochMillis times at which requests with a part were last answered completely, in
 *     milliseconds since the Unix epoch; only of parts that are suspected
 */
public record Evidence(List<EndpointCrash> crashes, Map<String, Long> answeredEpochMillis) {
  /** Bounds the size of a row. */
  static final int MAX_CRASHES = 16;

  /** Bounds the size of a row. */
  static final int MAX_ANSWERED_PARTS = 64;

  private static final Evidence EMPTY = new Evidence(List.of(), Map.of());

  /** Copies the list and the map. */
  public Evidence {
    crashes = List.copyOf(crashes);
    answeredEpochMillis = Map.copyOf(answeredEpochMillis);
  }

  /**
   * Returns no evidence.
   *
   * @return evidence without crashes and answers
   */
  public static Evidence empty() {
    return EMPTY;
  }

  /**
   * Returns this evidence with a crash; merges it with an earlier record of the same crash. If
   * there are too many, the oldest one without a part in quarantine is dropped.
   */
  Evidence withCrash(EndpointCrash crash, Set<String> quarantined) {
    List<EndpointCrash> changed = new ArrayList<>(crashes);
    for (int index = 0; index < changed.size(); index++) {
      EndpointCrash earlier = changed.get(index);
      if (earlier.isOf(crash.endpoint(), crash.startedEpochMillis())) {
        changed.set(index, earlier.withParts(crash.depths()));
        return new Evidence(changed, answeredEpochMillis);
      }
    }
    changed.add(crash);
    if (changed.size() > MAX_CRASHES) {
      changed.stream()
          .filter(each -> each.depths().keySet().stream().noneMatch(quarantined::contains))
          .findFirst()
          .ifPresentOrElse(changed::remove, () -> changed.remove(0));
    }
    return new Evidence(changed, answeredEpochMillis);
  }

  /** Returns this evidence without the crash of an endpoint that turned out to be alive. */
  Evidence withoutCrash(EndpointId endpoint, long startedEpochMillis) {
    return new Evidence(
        crashes.stream().filter(crash -> !crash.isOf(endpoint, startedEpochMillis)).toList(),
        answeredEpochMillis);
  }

  /** Returns this evidence with the time of a complete answer, the latest of each part. */
  Evidence withAnswer(String part, long epochMillis) {
    Map<String, Long> changed = new HashMap<>(answeredEpochMillis);
    changed.merge(part, epochMillis, Math::max);
    if (changed.size() > MAX_ANSWERED_PARTS) {
      changed.entrySet().stream()
          .min(Map.Entry.comparingByValue(Comparator.naturalOrder()))
          .map(Map.Entry::getKey)
          .ifPresent(changed::remove);
    }
    return new Evidence(crashes, changed);
  }

  /** Returns this evidence with that of an earlier process of the same instance. */
  Evidence withEarlier(Evidence earlier, Set<String> quarantined) {
    Evidence merged = earlier;
    for (EndpointCrash crash : crashes) {
      merged = merged.withCrash(crash, quarantined);
    }
    for (Map.Entry<String, Long> answer : answeredEpochMillis.entrySet()) {
      merged = merged.withAnswer(answer.getKey(), answer.getValue());
    }
    return merged;
  }

  /** Returns the part of this evidence that is not older than the given time. */
  Evidence since(long epochMillis) {
    Map<String, Long> answers = new HashMap<>(answeredEpochMillis);
    answers.values().removeIf(answered -> answered < epochMillis);
    return new Evidence(
        crashes.stream().filter(crash -> crash.epochMillis() >= epochMillis).toList(), answers);
  }

  /** Returns the crashes that may have been caused by a part. */
  Stream<EndpointCrash> crashesWith(String part) {
    return crashes.stream().filter(crash -> crash.depths().containsKey(part));
  }
}
