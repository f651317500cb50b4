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
 * Goodput that no policy can exceed: the size of the largest set of requests whose minimal engine
 * work fits into the available time. It relaxes the problem: all engines are one divisible resource
 * without faults, each token is decoded at the full batch, all caches are shared and never full,
 * requests may be split and preempted, and requests that are not measured cost nothing. Each set is
 * bounded twice, once without arrival times and once without deadlines, and the lower bound holds.
 */
final class UpperBound {
  /** Time that the fastest kind of engine needs for an output token at the full batch. */
  private static final double TOKEN_MILLIS =
      EngineFake.BASE_STEP_MILLIS / EngineFake.SLOTS + EngineFake.STEP_MILLIS_PER_REQUEST;

  private final double totalSpeed;
  private final double lowestSlowness;
  private final List<Workload.Request> counted = new ArrayList<>();
  private final Map<Workload.Request, Double> prefillMillis = new HashMap<>();

  UpperBound(Workload workload, List<Workload.Request> requests) {
    List<Double> slowness =
        workload.domains().stream().flatMap(domain -> domain.slowness().stream()).toList();
    totalSpeed = slowness.stream().mapToDouble(each -> 1 / each).sum();
    lowestSlowness = slowness.stream().mapToDouble(each -> each).min().orElseThrow();
    Set<Long> cachedHashes = new HashSet<>();
    for (Workload.Request request : requests) {
      prefillMillis.put(
          request, uncachedTokens(request, cachedHashes) / EngineFake.PREFILL_TOKENS_PER_MILLI);
      if (Outcomes.isMeasured(request) && fitsIdleEngine(request)) {
        counted.add(request);
      }
    }
  }

  /** Returns the highest number of matching requests that can be answered in time. */
  long maxGoodput(Predicate<Workload.Request> filter) {
    List<Workload.Request> chosen = counted.stream().filter(filter).toList();
    double end = chosen.stream().mapToDouble(Simulation::deadlineMillis).max().orElse(0);
    long byDeadline =
        maxJobsInTime(
            chosen, request -> Simulation.deadlineMillis(request) - BenchCase.WARM_UP_MILLIS);
    return Math.min(byDeadline, maxJobsInTime(chosen, request -> end - request.atMillis()));
  }

  /**
   * Returns the highest number of jobs that one processor, free from time 0 on, finishes in time,
   * by the Moore-Hodgson algorithm.
   */
  private long maxJobsInTime(
      List<Workload.Request> requests, ToDoubleFunction<Workload.Request> dueMillis) {
    PriorityQueue<Double> accepted = new PriorityQueue<>(Comparator.reverseOrder());
    double sum = 0;
    for (Workload.Request request :
        requests.stream().sorted(Comparator.comparingDouble(dueMillis)).toList()) {
      accepted.add(workMillis(request));
      sum += workMillis(request);
      if (sum > totalSpeed * dueMillis.applyAsDouble(request)) {
        sum -= accepted.remove();
      }
    }
    return accepted.size();
  }

  private double workMillis(Workload.Request request) {
    return prefillMillis.get(request) + request.outputTokens() * TOKEN_MILLIS;
  }

  private boolean fitsIdleEngine(Workload.Request request) {
    double millis =
        prefillMillis.get(request) + request.outputTokens() * EngineFake.BASE_STEP_MILLIS;
    return millis * lowestSlowness <= request.work().remainingMillis();
  }

  /** Returns the number of prompt tokens that no earlier request has in its prefix. */
  private static double uncachedTokens(Workload.Request request, Set<Long> cachedHashes) {
    WorkRequest work = request.work();
    double uncached = work.promptTokens() % WorkRequest.PREFIX_BLOCK_TOKENS;
    for (Long hash : work.prefixHashes()) {
      uncached += cachedHashes.add(hash) ? WorkRequest.PREFIX_BLOCK_TOKENS : 0;
    }
    return uncached;
  }
}
