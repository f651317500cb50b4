package org.snipewick.bench.cost;

import static java.util.Objects.requireNonNull;

import java.io.PrintStream;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.snipewick.bench.cluster.Cluster;

/**
 * Measures the processor time of each thread of idle instances, shortly after the start and later.
 */
final class ThreadBench {
  /** Times at which measurements start, in seconds after the call of {@link #run}. */
  private static final int[] START_SECONDS = {20, 60};

  private static final double PERCENT = 100;
  private static final double NANOS_PER_SECOND = 1e9;
  private static final double MIN_PRINTED_PERCENT = 0.01;

  private final int seconds;
  private final PrintStream out;

  ThreadBench(int seconds, PrintStream out) {
    this.seconds = seconds;
    this.out = requireNonNull(out, "out");
  }

  /**
   * Prints, for each start time, the share of a core that the threads use, in total and by thread
   * name, averaged over the instances. Names below {@link #MIN_PRINTED_PERCENT} are left out.
   */
  void run(Cluster cluster, List<String> instances) {
    long callNanos = System.nanoTime();
    for (int startSeconds : START_SECONDS) {
      Sleep.untilNanoTime(callNanos + (long) (startSeconds * NANOS_PER_SECOND));
      ThreadTimes before = readThreadTimes(cluster, instances);
      long startNanos = System.nanoTime();
      Sleep.untilNanoTime(startNanos + (long) (seconds * NANOS_PER_SECOND));
      ThreadTimes used = readThreadTimes(cluster, instances).since(before);
      double percentPerNano = PERCENT / (System.nanoTime() - startNanos) / instances.size();
      print(startSeconds, instances.size(), used, percentPerNano);
    }
  }

  private void print(int startSeconds, int instances, ThreadTimes used, double percentPerNano) {
    out.printf(
        Locale.ROOT,
        "threads of %d instances at %d s: %.3f %% of a core each%n",
        instances,
        startSeconds,
        used.totalNanos() * percentPerNano);
    used.nanosByName().entrySet().stream()
        .sorted(Map.Entry.comparingByValue(Comparator.reverseOrder()))
        .filter(entry -> entry.getValue() * percentPerNano >= MIN_PRINTED_PERCENT)
        .forEach(
            entry ->
                out.printf(
                    Locale.ROOT,
                    "  %-16s %8.3f%n",
                    entry.getKey(),
                    entry.getValue() * percentPerNano));
  }

  private static ThreadTimes readThreadTimes(Cluster cluster, List<String> instances) {
    return instances.stream()
        .map(instance -> ThreadTimes.of(cluster.process(instance).id()))
        .reduce(ThreadTimes.empty(), ThreadTimes::plus);
  }
}
