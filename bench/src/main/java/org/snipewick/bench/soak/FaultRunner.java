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

/** Injects the faults of a plan; a fault is skipped if its target has another one at that time. */
final class FaultRunner {
  private static final int THREADS = 16;

  /** Longer than an instance takes from its start until it serves, on a busy host. */
  private static final Duration MAX_RECOVERY_TIME = Duration.ofSeconds(90);

  private final Cluster cluster;
  private final Links links;
  private final ScheduledExecutorService executor = Executors.newScheduledThreadPool(THREADS);
  private final Set<String> activeTargets = ConcurrentHashMap.newKeySet();
  private final Queue<InjectedFault> injectedFaults = new ConcurrentLinkedQueue<>();
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
              () -> runner.inject(planned), planned.start().toMillis(), TimeUnit.MILLISECONDS);
    }
    return runner;
  }

  /** Waits until all faults of a plan of the given length have ended, and returns them. */
  List<InjectedFault> finish(Duration length) throws InterruptedException {
    Duration timeout = length.plus(MAX_RECOVERY_TIME);
    executor.shutdown();
    if (!executor.awaitTermination(timeout.toSeconds(), TimeUnit.SECONDS)) {
      failures.add("faults did not end within " + timeout);
    }
    return List.copyOf(injectedFaults);
  }

  /** Returns failures to inject or remove faults, such as an instance that did not serve again. */
  List<String> failures() {
    return List.copyOf(failures);
  }

  private void inject(FaultPlan.Planned planned) {
    Fault fault = planned.fault();
    if (!activeTargets.add(fault.target())) {
      return;
    }
    long beginNanos = System.nanoTime();
    try {
      fault.begin(cluster, links);
      TimeUnit.NANOSECONDS.sleep(planned.duration().toNanos());
      fault.end(cluster, links);
      if (SoakCluster.INSTANCES.contains(fault.target())) {
        cluster.awaitServing(fault.target());
      }
      injectedFaults.add(new InjectedFault(fault, beginNanos, System.nanoTime()));
    } catch (RuntimeException | AssertionError failed) {
      injectedFaults.add(new InjectedFault(fault, beginNanos, Long.MAX_VALUE));
      failures.add(fault + " was not injected, or its target did not recover: " + failed);
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    } finally {
      activeTargets.remove(fault.target());
    }
  }
}
