package org.snipewick.quarantine;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.snipewick.identity.EndpointId;

/**
 * Verdicts on the parts of prompts, from the evidence of all instances. For requests whose content
 * crashes endpoints, a few a second at any instance, among requests that share their other parts.
 *
 * <p>Each crash has one cause. The part that is in most crashes and was not answered is convicted,
 * which explains these crashes for all other parts; then the rest is considered. Immutable.
 *
 * @param quarantined parts that requests must not contain
 * @param suspected parts that may be convicted by one more crash
 */
public record Verdicts(Map<String, QuarantinedPart> quarantined, Set<String> suspected) {
  /** A part that is not the cause is rarely at this many endpoints when they crash. */
  static final int CRASHES_TO_CONVICT = 3;

  static final int CRASHES_TO_SUSPECT = 2;

  /** Endpoints that crash together have a common cause, such as the loss of power. */
  static final Duration SIMULTANEOUS = Duration.ofMillis(50);

  /** A part that was answered this long before a crash, or any time after it, is not its cause. */
  static final Duration ANSWER_VALIDITY = Duration.ofMinutes(1);

  /** A part is released when its crashes are older. */
  static final Duration RETENTION = Duration.ofMinutes(30);

  private static final Verdicts NONE = new Verdicts(Map.of(), Set.of());

  /** Copies the components. */
  public Verdicts {
    quarantined = Map.copyOf(quarantined);
    suspected = Set.copyOf(suspected);
  }

  /**
   * Returns verdicts that convict and suspect no part.
   *
   * @return no verdicts
   */
  public static Verdicts none() {
    return NONE;
  }

  /**
   * Decides on all parts.
   *
   * @param evidence evidence of each instance
   * @param nowEpochMillis current time in milliseconds since the Unix epoch
   * @return verdicts
   */
  public static Verdicts of(Collection<Evidence> evidence, long nowEpochMillis) {
    List<Crash> unexplained = crashes(evidence, nowEpochMillis - RETENTION.toMillis());
    Map<String, QuarantinedPart> quarantined = new HashMap<>();
    while (true) {
      Map<String, List<Crash>> byPart = byPart(unexplained);
      Optional<String> cause = mostLikelyCause(byPart);
      if (cause.isEmpty()) {
        return new Verdicts(quarantined, suspects(byPart));
      }
      List<Crash> caused = byPart.get(cause.get());
      quarantined.put(cause.get(), quarantinedPart(cause.get(), caused));
      unexplained.removeAll(caused);
    }
  }

  private static Optional<String> mostLikelyCause(Map<String, List<Crash>> byPart) {
    return byPart.entrySet().stream()
        .filter(entry -> moments(entry.getValue()) >= CRASHES_TO_CONVICT)
        .max(
            Comparator.comparingInt(
                    (Map.Entry<String, List<Crash>> entry) -> entry.getValue().size())
                .thenComparingInt(entry -> depth(entry.getKey(), entry.getValue()))
                .thenComparing(Map.Entry::getKey))
        .map(Map.Entry::getKey);
  }

  private static Set<String> suspects(Map<String, List<Crash>> byPart) {
    Set<String> suspects = new HashSet<>();
    byPart.forEach(
        (part, crashes) -> {
          if (moments(crashes) >= CRASHES_TO_SUSPECT) {
            suspects.add(part);
          }
        });
    return suspects;
  }

  /** Returns the position of a part; the last parts of a prompt are in the fewest requests. */
  private static int depth(String part, List<Crash> crashes) {
    return crashes.stream().mapToInt(crash -> crash.depths.get(part)).max().orElse(0);
  }

  private static QuarantinedPart quarantinedPart(String part, List<Crash> crashes) {
    long first = crashes.get(0).epochMillis;
    long last = crashes.get(crashes.size() - 1).epochMillis;
    return new QuarantinedPart(part, crashes.size(), first, last + RETENTION.toMillis());
  }

  /** Returns the crashes of each part in order of time. */
  private static Map<String, List<Crash>> byPart(List<Crash> crashes) {
    Map<String, List<Crash>> byPart = new HashMap<>();
    for (Crash crash : crashes) {
      crash
          .depths
          .keySet()
          .forEach(part -> byPart.computeIfAbsent(part, key -> new ArrayList<>()).add(crash));
    }
    return byPart;
  }

  /** Counts crashes, which are in order of time; those that are simultaneous count as one. */
  private static int moments(List<Crash> crashes) {
    int moments = 0;
    long momentEpochMillis = Long.MIN_VALUE;
    for (Crash crash : crashes) {
      if (moments == 0 || crash.epochMillis - momentEpochMillis > SIMULTANEOUS.toMillis()) {
        moments++;
        momentEpochMillis = crash.epochMillis;
      }
    }
    return moments;
  }

  /** Merges what the instances recorded of each crash, in order of time. */
  private static List<Crash> crashes(Collection<Evidence> evidence, long sinceEpochMillis) {
    Map<String, Long> answered = new HashMap<>();
    evidence.forEach(
        each ->
            each.answeredEpochMillis()
                .forEach((part, epochMillis) -> answered.merge(part, epochMillis, Math::max)));
    Map<Incarnation, Crash> crashes = new HashMap<>();
    for (Evidence each : evidence) {
      for (EndpointCrash recorded : each.crashes()) {
        if (recorded.epochMillis() >= sinceEpochMillis) {
          crashes
              .computeIfAbsent(
                  new Incarnation(recorded.endpoint(), recorded.startedEpochMillis()),
                  key -> new Crash(recorded.epochMillis()))
              .add(recorded, answered);
        }
      }
    }
    List<Crash> ordered = new ArrayList<>(crashes.values());
    ordered.sort(Comparator.comparingLong(crash -> crash.epochMillis));
    return ordered;
  }

  /** Returns whether a part was answered so late that it is not the cause of a crash. */
  static boolean isCleared(long answeredEpochMillis, long crashEpochMillis) {
    return answeredEpochMillis >= crashEpochMillis - ANSWER_VALIDITY.toMillis();
  }

  private record Incarnation(EndpointId endpoint, long startedEpochMillis) {}

  /** Crash of one incarnation with the possible causes that all instances recorded. */
  private static final class Crash {
    private final Map<String, Integer> depths = new TreeMap<>();
    private long epochMillis;

    Crash(long epochMillis) {
      this.epochMillis = epochMillis;
    }

    void add(EndpointCrash recorded, Map<String, Long> answered) {
      epochMillis = Math.min(epochMillis, recorded.epochMillis());
      recorded
          .depths()
          .forEach(
              (part, depth) -> {
                Long answer = answered.get(part);
                if (answer == null || !isCleared(answer, recorded.epochMillis())) {
                  depths.merge(part, depth, Math::max);
                }
              });
    }
  }
}
