package org.snipewick.bench.soak;

import java.io.PrintStream;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.snipewick.bench.cluster.Await;
import org.snipewick.bench.cluster.Cluster;
import org.snipewick.bench.cluster.Links;
import org.snipewick.event.EventType;

/** Runs a cluster of real processes under random faults and checks the guarantees to callers. */
public final class Soak {
  /** Instances must serve requests again within this time after the last fault has ended. */
  private static final Duration RECOVERY_TIMEOUT = Duration.ofSeconds(20);

  private static final String INTERNAL_ERROR =
      "\"event\":\"%d\"".formatted(EventType.INTERNAL_ERROR.number());

  private final long seed;
  private final Duration duration;

  private Soak(long seed, Duration duration) {
    this.seed = seed;
    this.duration = duration;
  }

  /**
   * Creates a run.
   *
   * @param seed seed of the faults and of the callers
   * @param duration time during which faults start
   * @return run, not started yet
   */
  public static Soak of(long seed, Duration duration) {
    return new Soak(seed, duration);
  }

  /**
   * Starts the cluster, runs callers and faults, and checks the results.
   *
   * @param out receives the faults, the violations and a summary, and the logs if there are
   *     violations
   * @return a line for each violation or failure; empty if there is none
   */
  public List<String> run(PrintStream out) {
    FaultPlan plan = FaultPlan.of(seed, duration);
    try (Links links = Links.relayed();
        Cluster cluster = SoakCluster.start(links)) {
      SoakCallers callers = SoakCallers.start(cluster, seed);
      FaultRunner faultRunner = FaultRunner.start(cluster, links, plan);
      final List<InjectedFault> injectedFaults = faultRunner.finish(duration);
      final Collection<Attempt> attempts = callers.stop();
      List<String> violations = new ArrayList<>(faultRunner.failures());
      violations.addAll(checkRecovery(cluster));
      violations.addAll(
          new Guarantees(injectedFaults, SoakCluster.runsByName(cluster)).violations(attempts));
      SoakCluster.dispatchesById(cluster)
          .forEach(
              (id, count) -> {
                if (count > 1) {
                  violations.add("dispatched " + count + " times: " + id);
                }
              });
      String logs = cluster.processes().logs();
      logs.lines().filter(line -> line.contains(INTERNAL_ERROR)).forEach(violations::add);
      report(out, injectedFaults, attempts, violations);
      if (!violations.isEmpty()) {
        out.println(logs);
      }
      return violations;
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
      throw new IllegalStateException(interrupted);
    }
  }

  private static List<String> checkRecovery(Cluster cluster) {
    List<String> violations = new ArrayList<>();
    for (String instance : SoakCluster.INSTANCES) {
      try {
        Await.until(
            RECOVERY_TIMEOUT,
            instance + " completes a chat request after the faults",
            () ->
                cluster.sendChatRequest(instance, "after", 2, false, Map.of()).join().statusCode()
                    == 200);
        Await.until(
            RECOVERY_TIMEOUT,
            instance + " completes a booking after the faults",
            () ->
                cluster.sendBooking(instance, "after-" + System.nanoTime()).join().statusCode()
                    == 200);
      } catch (RuntimeException | AssertionError failed) {
        violations.add(failed.toString());
      }
    }
    return violations;
  }

  private void report(
      PrintStream out,
      List<InjectedFault> injectedFaults,
      Collection<Attempt> attempts,
      List<String> violations) {
    injectedFaults.forEach(injected -> out.println("fault " + injected.fault()));
    Map<String, Long> endCounts =
        attempts.stream()
            .collect(
                Collectors.groupingBy(
                    attempt ->
                        attempt
                            .response()
                            .map(response -> Integer.toString(response.statusCode()))
                            .orElse("broken"),
                    Collectors.counting()));
    violations.forEach(line -> out.println("VIOLATION " + line));
    out.println(
        "soak seed %d, %d s: %d faults, %d calls, ends %s, %d violations"
            .formatted(
                seed,
                duration.toSeconds(),
                injectedFaults.size(),
                attempts.size(),
                endCounts,
                violations.size()));
  }
}
