package org.snipewick.bench.soak;

import java.time.Duration;
import java.util.List;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.snipewick.bench.cluster.Cluster;
import org.snipewick.bench.cluster.Links;

/** Brings the faults of a plan about; one whose target is struck already is left out. */
final class FaultRunner {
  private static final int THREADS = 16;

  /** More than an instance takes from its start until it serves, on a busy host. */
  private static final Duration LONGEST_END = Duration.ofSeconds(90);

  private final Cluster cluster;
  private final Links links;
  private final ScheduledExecutorService executor = Executors.newScheduledThreadPool(THREADS);
  private final Set<String> struck = ConcurrentHashMap.newKeySet();
  private final Queue<Strike> strikes = new ConcurrentLinkedQueue<>();
  private final Queue<String> failures = new ConcurrentLinkedQueue<>();

  private FaultRunner(Cluster cluster, Links links) {
    this.cluster = cluster;
    this.links = links;
  }

  static FaultRunner start(Cluster cluster, Links links, FaultPlan plan) {
    FaultRunner runner = new FaultRunner(cluster, links);
    for (FaultPlan.Planned planned : plan.faults()) {
      var unused =
          runner.executor.schedule(
              () -> runner.strike(planned), planned.at().toMillis(), TimeUnit.MILLISECONDS);
    }
    return runner;
  }

  /** Waits until all faults, which begin within the given length, have ended and returns them. */
  List<Strike> finish(Duration length) throws InterruptedException {
    Duration limit = length.plus(LONGEST_END);
    executor.shutdown();
    if (!executor.awaitTermination(limit.toSeconds(), TimeUnit.SECONDS)) {
      failures.add("faults did not end within " + limit);
    }
    return List.copyOf(strikes);
  }

  /** Returns what went wrong with the faults themselves, such as an instance that stayed away. */
  List<String> failures() {
    return List.copyOf(failures);
  }

  private void strike(FaultPlan.Planned planned) {
    Fault fault = planned.fault();
    if (!struck.add(fault.target())) {
      return;
    }
    long begin = System.nanoTime();
    try {
      fault.begin(cluster, links);
      TimeUnit.NANOSECONDS.sleep(planned.lasts().toNanos());
      fault.end(cluster, links);
      if (SoakCluster.INSTANCES.contains(fault.target())) {
        cluster.awaitServing(fault.target());
      }
      strikes.add(new Strike(fault, begin, System.nanoTime()));
    } catch (RuntimeException | AssertionError failed) {
      strikes.add(new Strike(fault, begin, Long.MAX_VALUE));
      failures.add(fault + " did not end well: " + failed);
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    } finally {
      struck.remove(fault.target());
    }
  }
}
