package org.snipewick.bench.cost;

import static java.util.Objects.requireNonNull;

import java.io.PrintStream;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.snipewick.bench.cluster.Cluster;

/** Measures in which threads idle instances spend processor time, young and older. */
final class ThreadBench {
  private static final int[] AGES_SECONDS = {20, 60};
  private static final double PERCENT = 100;
  private static final double NANOS_PER_SECOND = 1e9;
  private static final double LEAST_PERCENT = 0.01;

  private final int seconds;
  private final PrintStream out;

  ThreadBench(int seconds, PrintStream out) {
    this.seconds = seconds;
    this.out = requireNonNull(out, "out");
  }

  /** Prints a line a thread and age: share of a core, averaged over the instances. */
  void run(Cluster cluster, List<String> instances) {
    long start = System.nanoTime();
    for (int age : AGES_SECONDS) {
      Pause.until(start + (long) (age * NANOS_PER_SECOND));
      ThreadTimes before = read(cluster, instances);
      long began = System.nanoTime();
      Pause.until(began + (long) (seconds * NANOS_PER_SECOND));
      ThreadTimes used = read(cluster, instances).since(before);
      double scale = PERCENT / (System.nanoTime() - began) / instances.size();
      print(age, instances.size(), used, scale);
    }
  }

  private void print(int age, int instances, ThreadTimes used, double scale) {
    out.printf(
        Locale.ROOT,
        "threads of %d instances at %d s: %.3f %% of a core each%n",
        instances,
        age,
        used.totalNanos() * scale);
    used.nanosByName().entrySet().stream()
        .sorted(Map.Entry.comparingByValue(Comparator.reverseOrder()))
        .filter(entry -> entry.getValue() * scale >= LEAST_PERCENT)
        .forEach(
            entry ->
                out.printf(
                    Locale.ROOT, "  %-16s %8.3f%n", entry.getKey(), entry.getValue() * scale));
  }

  private static ThreadTimes read(Cluster cluster, List<String> instances) {
    return instances.stream()
        .map(instance -> ThreadTimes.of(cluster.process(instance).id()))
        .reduce(ThreadTimes.empty(), ThreadTimes::plus);
  }
}
