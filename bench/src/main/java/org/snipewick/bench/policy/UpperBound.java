package org.snipewick.bench.policy;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;
import org.snipewick.pool.WorkRequest;

/**
 * Goodput that no policy can exceed: the largest set of requests whose least engine work fits. It
 * relaxes the world: all engines are one fluid without faults, each token is decoded at the full
 * batch, all caches are shared and never full, requests may be split and interrupted, and those
 * that are not counted cost nothing. Each set is bounded twice, once without arrival times and once
 * without deadlines, and the lesser bound holds.
 */
final class UpperBound {
  private static final double TOKEN_MILLIS =
      EngineFake.STEP_MILLIS / EngineFake.SLOTS + EngineFake.STEP_MILLIS_PER_REQUEST;

  private final double speed;
  private final double leastSlowness;
  private final List<Workload.Request> counted = new ArrayList<>();
  private final Map<Workload.Request, Double> prefillMillis = new HashMap<>();

  UpperBound(Workload workload, List<Workload.Request> requests) {
    List<Double> slowness =
        workload.domains().stream().flatMap(domain -> domain.slowness().stream()).toList();
    speed = slowness.stream().mapToDouble(each -> 1 / each).sum();
    leastSlowness = slowness.stream().mapToDouble(each -> each).min().orElseThrow();
    Set<Long> seen = new HashSet<>();
    for (Workload.Request request : requests) {
      prefillMillis.put(request, newTokens(request, seen) / EngineFake.PREFILL_TOKENS_PER_MILLI);
      if (Outcomes.counts(request) && fitsAlone(request)) {
        counted.add(request);
      }
    }
  }

  /** Returns the most requests of a kind that can be answered in time. */
  long of(Predicate<Workload.Request> kind) {
    List<Workload.Request> chosen = counted.stream().filter(kind).toList();
    double end = chosen.stream().mapToDouble(World::deadlineMillis).max().orElse(0);
    long byDeadline =
        mostInTime(chosen, request -> World.deadlineMillis(request) - BenchCase.WARM_UP_MILLIS);
    return Math.min(byDeadline, mostInTime(chosen, request -> end - request.atMillis()));
  }

  /** Moore and Hodgson's method: the most jobs in time on one processor that is free from 0 on. */
  private long mostInTime(
      List<Workload.Request> requests, ToDoubleFunction<Workload.Request> dueMillis) {
    PriorityQueue<Double> accepted = new PriorityQueue<>(Comparator.reverseOrder());
    double sum = 0;
    for (Workload.Request request :
        requests.stream().sorted(Comparator.comparingDouble(dueMillis)).toList()) {
      accepted.add(workMillis(request));
      sum += workMillis(request);
      if (sum > speed * dueMillis.applyAsDouble(request)) {
        sum -= accepted.remove();
      }
    }
    return accepted.size();
  }

  private double workMillis(Workload.Request request) {
    return prefillMillis.get(request) + request.outputTokens() * TOKEN_MILLIS;
  }

  private boolean fitsAlone(Workload.Request request) {
    double millis = prefillMillis.get(request) + request.outputTokens() * EngineFake.STEP_MILLIS;
    return millis * leastSlowness <= request.work().remainingMillis();
  }

  /** Counts the prompt tokens that no earlier request shares. */
  private static double newTokens(Workload.Request request, Set<Long> seen) {
    WorkRequest work = request.work();
    double fresh = work.promptTokens() % WorkRequest.PREFIX_BLOCK_TOKENS;
    for (Long hash : work.prefixHashes()) {
      fresh += seen.add(hash) ? WorkRequest.PREFIX_BLOCK_TOKENS : 0;
    }
    return fresh;
  }
}
