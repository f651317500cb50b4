package org.snipewick.rollout;

import static java.util.Objects.requireNonNull;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** Counts of the requests to a pool since an order, at one instance. Not thread-safe. */
final class OrderTraffic {
  private final long id;
  private final Map<Integer, Long> residence = new HashMap<>();
  private final Map<String, Counters> old = new HashMap<>();
  private final Map<String, Map<String, Counters>> fresh = new HashMap<>();
  private final Set<Pending> pending = new HashSet<>();
  private long arrived;
  private long exposed;
  private long arrivedAtMove;
  private long exposedAtMove;

  OrderTraffic(long id) {
    this.id = id;
  }

  /** Request that was sent to an endpoint and has no response yet. */
  record Pending(Counters counters, long startedNanos, Object request) {
    Pending {
      requireNonNull(counters, "counters");
    }
  }

  /** Mutable counterpart of {@link Tally}. */
  static final class Counters {
    private final Map<Integer, Long> times = new HashMap<>();
    private final Map<Integer, Long> gaps = new HashMap<>();
    private long answers;
    private long failures;

    void addTime(double nanos) {
      times.merge(Durations.bucketOf(nanos), 1L, Long::sum);
    }

    void addGap(double nanos) {
      gaps.merge(Durations.bucketOf(nanos), 1L, Long::sum);
    }

    void addAnswer() {
      answers++;
    }

    void addFailure() {
      failures++;
    }
  }

  long id() {
    return id;
  }

  void countArrival() {
    arrived++;
  }

  void countExposure() {
    exposed++;
  }

  void beginMove() {
    arrivedAtMove = arrived;
    exposedAtMove = exposed;
  }

  long arrived() {
    return arrived;
  }

  long exposed() {
    return exposed;
  }

  /** Returns whether the part of this instance allows one more request during the move. */
  boolean isMoveAllowed(double moveShare, double growthShare, double fraction) {
    double allowance =
        Math.floor(moveShare * arrivedAtMove + growthShare * (arrived - arrivedAtMove) + fraction);
    return exposed - exposedAtMove < allowance;
  }

  void addResidence(double nanos) {
    residence.merge(Durations.bucketOf(nanos), 1L, Long::sum);
  }

  Counters old(String route) {
    return old.computeIfAbsent(route, name -> new Counters());
  }

  Counters fresh(String endpoint, String route) {
    return fresh
        .computeIfAbsent(endpoint, name -> new HashMap<>())
        .computeIfAbsent(route, name -> new Counters());
  }

  void add(Pending request) {
    pending.add(request);
  }

  void remove(Pending request) {
    pending.remove(request);
  }

  Evidence evidence(long onOld, boolean isSealed, long nowNanos) {
    Map<Counters, Map<Integer, Long>> waiting = new HashMap<>();
    for (Pending request : pending) {
      waiting
          .computeIfAbsent(request.counters(), counters -> new HashMap<>())
          .merge(Durations.bucketOf(nowNanos - request.startedNanos()), 1L, Long::sum);
    }
    Map<String, Map<String, Tally>> freshTallies = new HashMap<>();
    fresh.forEach((endpoint, routes) -> freshTallies.put(endpoint, tallies(routes, waiting)));
    return new Evidence(
        id, arrived, exposed, onOld, isSealed, residence, tallies(old, waiting), freshTallies);
  }

  private static Map<String, Tally> tallies(
      Map<String, Counters> routes, Map<Counters, Map<Integer, Long>> waiting) {
    Map<String, Tally> tallies = new HashMap<>();
    routes.forEach(
        (route, counters) ->
            tallies.put(
                route,
                new Tally(
                    counters.answers,
                    counters.failures,
                    counters.times,
                    counters.gaps,
                    waiting.getOrDefault(counters, Map.of()))));
    return tallies;
  }
}
