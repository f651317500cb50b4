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

/** Runs real processes under randomized faults and checks what callers are promised. */
public final class Soak {
  /** All is to be well again so long after the last fault has ended. */
  private static final Duration RECOVERY = Duration.ofSeconds(20);

  private static final String INTERNAL_ERROR =
      "\"event\":\"%d\"".formatted(EventType.INTERNAL_ERROR.number());

  private final long seed;
  private final Duration length;

  private Soak(long seed, Duration length) {
    this.seed = seed;
    this.length = length;
  }

  /**
   * Creates a run.
   *
   * @param seed seed of the faults and of the callers
   * @param length time during which faults begin
   * @return run
   */
  public static Soak of(long seed, Duration length) {
    return new Soak(seed, length);
  }

  /**
   * Runs.
   *
   * @param out gets the faults, a summary and what was found
   * @return a line for each broken promise; empty if all were kept
   */
  public List<String> run(PrintStream out) {
    FaultPlan plan = FaultPlan.of(seed, length);
    try (Links links = Links.relayed();
        Cluster cluster = SoakCluster.start(links)) {
      SoakCallers callers = SoakCallers.start(cluster, seed);
      FaultRunner faults = FaultRunner.start(cluster, links, plan);
      final List<Strike> strikes = faults.finish(length);
      final Collection<Attempt> attempts = callers.stop();
      List<String> found = new ArrayList<>(faults.failures());
      found.addAll(notRecovered(cluster));
      found.addAll(new Promises(strikes, SoakCluster.runs(cluster)).violations(attempts));
      SoakCluster.dispatches(cluster)
          .forEach(
              (id, count) -> {
                if (count > 1) {
                  found.add("dispatched " + count + " times: " + id);
                }
              });
      String logs = cluster.processes().logs();
      logs.lines().filter(line -> line.contains(INTERNAL_ERROR)).forEach(found::add);
      report(out, strikes, attempts, found);
      if (!found.isEmpty()) {
        out.println(logs);
      }
      return found;
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
      throw new IllegalStateException(interrupted);
    }
  }

  private static List<String> notRecovered(Cluster cluster) {
    List<String> found = new ArrayList<>();
    for (String instance : SoakCluster.INSTANCES) {
      try {
        Await.until(
            RECOVERY,
            instance + " answers a question after the faults",
            () -> cluster.model(instance, "after", 2, false, Map.of()).join().statusCode() == 200);
        Await.until(
            RECOVERY,
            instance + " books after the faults",
            () -> cluster.book(instance, "after-" + System.nanoTime()).join().statusCode() == 200);
      } catch (RuntimeException | AssertionError failed) {
        found.add(failed.toString());
      }
    }
    return found;
  }

  private void report(
      PrintStream out, List<Strike> strikes, Collection<Attempt> attempts, List<String> found) {
    strikes.forEach(strike -> out.println("fault " + strike.fault()));
    Map<String, Long> ends =
        attempts.stream()
            .collect(
                Collectors.groupingBy(
                    attempt ->
                        attempt
                            .answer()
                            .map(answer -> Integer.toString(answer.statusCode()))
                            .orElse("broken"),
                    Collectors.counting()));
    found.forEach(line -> out.println("VIOLATION " + line));
    out.println(
        "soak seed %d, %d s: %d faults, %d calls, ends %s, %d violations"
            .formatted(
                seed, length.toSeconds(), strikes.size(), attempts.size(), ends, found.size()));
  }
}
