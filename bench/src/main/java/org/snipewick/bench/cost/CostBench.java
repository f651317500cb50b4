package org.snipewick.bench.cost;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import org.HdrHistogram.Histogram;
import org.snipewick.bench.cluster.Cluster;
import org.snipewick.bench.cluster.TestCatalogue;

/**
 * Measures processor time, memory, bytes between instances and added latency, by the number of
 * instances, endpoints and teams and by the request rate.
 */
public final class CostBench {
  private static final int[] INSTANCE_COUNTS = {2, 4, 8, 16};
  private static final int[] ENDPOINT_COUNTS = {1, 100, 300};
  private static final int[] TEAM_COUNTS = {2, 3_000, 9_100};
  private static final int[] REQUEST_RATES_PER_SECOND = {20, 60, 120};
  private static final int THREADS_SERIES_INSTANCES = 4;

  /** Number of catalogue changes in each measurement of the teams series. */
  private static final int CATALOGUE_CHANGES = 10;

  /** Largest number of edits in one change that adds models and teams. */
  private static final int EDITS_PER_CHANGE = 1_000;

  /** Number of models in the catalogue of the teams series. */
  private static final int MODELS = 27;

  private static final int HTTP_OK = 200;

  /** Wait before the first sample of a cluster, so that start-up work is not measured. */
  private static final long START_UP_SECONDS = 20;

  private static final double MICROS_PER_MILLI = 1_000;
  private static final double MEDIAN_PERCENTILE = 50;
  private static final double TAIL_PERCENTILE = 99;
  private static final ObjectMapper JSON = new ObjectMapper();

  private final int seconds;
  private final boolean json;
  private final PrintStream out;

  /**
   * Creates a measurement of the cost.
   *
   * @param seconds length of each measurement, positive
   * @param json whether each row is printed as a JSON object
   * @param out receives the rows
   */
  public CostBench(int seconds, boolean json, PrintStream out) {
    this.seconds = seconds;
    this.json = json;
    this.out = requireNonNull(out, "out");
  }

  /**
   * Measures one series or all, in the order of their names, and prints the results.
   *
   * @param series instances, domains, endpoints, teams, threads, requests or keys; empty for all;
   *     with any other name nothing is measured
   * @throws IllegalStateException if the cluster rejects a change of the catalogue
   */
  public void run(String series) {
    if (!json) {
      out.println(CostRow.header());
    }
    Map<String, Runnable> measurements =
        Map.of(
            "instances", () -> measureInstances("instances", 1),
            "domains", () -> measureInstances("domains", 4),
            "endpoints", this::measureEndpoints,
            "teams", this::measureTeams,
            "threads", this::measureThreads,
            "requests", () -> measureRequests("requests", false),
            "keys", () -> measureRequests("keys", true));
    measurements.entrySet().stream()
        .filter(entry -> series.isEmpty() || entry.getKey().equals(series))
        .sorted(Map.Entry.comparingByKey())
        .forEach(entry -> entry.getValue().run());
  }

  private void measureInstances(String series, int domains) {
    for (int count : INSTANCE_COUNTS) {
      List<String> instances = instanceNames(count, Math.min(domains, count));
      try (Cluster cluster = Cluster.start().startEntries(instances.toArray(String[]::new))) {
        cluster.applyTestCatalogue(instances.get(0));
        print(CostRow.of(series, count, measureIdle(cluster, instances)));
      }
    }
  }

  private void measureEndpoints() {
    for (int count : ENDPOINT_COUNTS) {
      List<String> instances = instanceNames(2, 1);
      try (Cluster cluster = Cluster.start().startEngine("engine-0", "domain-0")) {
        String address = cluster.address("engine-0");
        int port = Integer.parseInt(address.substring(address.indexOf(':') + 1));
        // The other endpoints in the list have the address of the same process.
        for (int index = 1; index < count; index++) {
          cluster.putListedInstance(
              "engine-" + index, "engine", "domain-0", port, "planner", "live");
        }
        cluster.startEntries(instances.toArray(String[]::new)).applyTestCatalogue(instances.get(0));
        print(CostRow.of("endpoints", count, measureIdle(cluster, instances)));
      }
    }
  }

  private void measureThreads() {
    List<String> instances = instanceNames(THREADS_SERIES_INSTANCES, 1);
    try (Cluster cluster = Cluster.start().startEntries(instances.toArray(String[]::new))) {
      cluster.applyTestCatalogue(instances.get(0));
      new ThreadBench(seconds, out).run(cluster, instances);
    }
  }

  private void measureTeams() {
    for (int count : TEAM_COUNTS) {
      List<String> instances = instanceNames(4, 2);
      try (Cluster cluster = Cluster.start().startEntries(instances.toArray(String[]::new))) {
        cluster.applyTestCatalogue(instances.get(0));
        long version = addModelsAndTeams(cluster, instances.get(0), count);
        instances.forEach(instance -> cluster.awaitCatalogueVersion(instance, version));
        ResourceSample before = sampleAfterStartUp(cluster, instances);
        for (int change = 0; change < CATALOGUE_CHANGES; change++) {
          String edits = TestCatalogue.modelEdit("owner-" + change);
          int status =
              cluster.editCatalogue(instances.get(0), version + change, edits).statusCode();
          if (status != HTTP_OK) {
            throw new IllegalStateException("catalogue change rejected with HTTP status " + status);
          }
        }
        Sleep.forSeconds(seconds);
        print(CostRow.of("teams", count, usageSince(cluster, instances, before)));
      }
    }
  }

  /**
   * Adds models and teams to the catalogue until it has {@link #MODELS} models and the given number
   * of teams, and returns its version.
   */
  private static long addModelsAndTeams(Cluster cluster, String instance, int teams) {
    List<String> edits = new ArrayList<>();
    for (int model = 1; model < MODELS; model++) {
      edits.add(TestCatalogue.model("model-" + model, "planning"));
    }
    for (int team = 2; team < teams; team++) {
      edits.add(TestCatalogue.team("team-" + team, 3, "token-" + team));
    }
    long version = 1;
    for (int first = 0; first < edits.size(); first += EDITS_PER_CHANGE) {
      List<String> batch = edits.subList(first, Math.min(edits.size(), first + EDITS_PER_CHANGE));
      int status =
          cluster
              .editCatalogue(instance, version, "{\"edits\":[" + String.join(",", batch) + "]}")
              .statusCode();
      if (status != HTTP_OK) {
        throw new IllegalStateException(
            "added models or teams rejected with HTTP status " + status);
      }
      version++;
    }
    return version;
  }

  private void measureRequests(String series, boolean keyed) {
    List<String> instances = instanceNames(4, 2);
    try (Cluster cluster =
        Cluster.start()
            .startEngine("engine-0", "domain-0", "--max-in-flight", "256")
            .startEngine("engine-1", "domain-1", "--max-in-flight", "256")
            .startEntries(instances.toArray(String[]::new))) {
      cluster.applyTestCatalogue(instances.get(0));
      // Warm-up, whose latencies are discarded.
      sendToInstances(cluster, instances, 40, keyed);
      for (int rate : REQUEST_RATES_PER_SECOND) {
        Histogram directMicros =
            RequestLoad.run(
                rate, seconds, index -> RequestLoad.sendDirect(cluster.address("engine-0"), index));
        ResourceSample before = ResourceSample.of(cluster, instances);
        Histogram scheduledMicros = sendToInstances(cluster, instances, rate, keyed);
        ResourceSample.Usage usage =
            ResourceSample.of(cluster, instances).usageSince(before, instances.size());
        print(
            CostRow.of(series, rate, usage)
                .withLatency(
                    addedMillis(directMicros, scheduledMicros, MEDIAN_PERCENTILE),
                    addedMillis(directMicros, scheduledMicros, TAIL_PERCENTILE)));
      }
    }
  }

  /** Sends requests to the instances in turn, and returns their latencies in microseconds. */
  private Histogram sendToInstances(
      Cluster cluster, List<String> instances, int requestsPerSecond, boolean keyed) {
    return RequestLoad.run(
        requestsPerSecond,
        seconds,
        index ->
            cluster.sendChatRequest(
                instances.get(index % instances.size()),
                "tank",
                2,
                false,
                keyed ? Map.of("Idempotency-Key", UUID.randomUUID().toString()) : Map.of()));
  }

  /** Returns how much a percentile of the latency is above that of direct requests. */
  private static double addedMillis(
      Histogram directMicros, Histogram scheduledMicros, double percentile) {
    long differenceMicros =
        scheduledMicros.getValueAtPercentile(percentile)
            - directMicros.getValueAtPercentile(percentile);
    return differenceMicros / MICROS_PER_MILLI;
  }

  private ResourceSample.Usage measureIdle(Cluster cluster, List<String> instances) {
    ResourceSample before = sampleAfterStartUp(cluster, instances);
    Sleep.forSeconds(seconds);
    return usageSince(cluster, instances, before);
  }

  /** Returns the usage since a sample, with the memory that is in use after garbage collection. */
  private static ResourceSample.Usage usageSince(
      Cluster cluster, List<String> instances, ResourceSample before) {
    ResourceSample.Usage usage =
        ResourceSample.of(cluster, instances).usageSince(before, instances.size());
    instances.forEach(instance -> cluster.process(instance).collectGarbage());
    return usage.withMemory(ResourceSample.of(cluster, instances), instances.size());
  }

  private static ResourceSample sampleAfterStartUp(Cluster cluster, List<String> instances) {
    Sleep.forSeconds(START_UP_SECONDS);
    return ResourceSample.of(cluster, instances);
  }

  private static List<String> instanceNames(int count, int domains) {
    List<String> names = new ArrayList<>();
    for (int index = 0; index < count; index++) {
      names.add("domain-" + index % domains + "." + index);
    }
    return names;
  }

  private void print(CostRow row) {
    try {
      out.println(json ? JSON.writeValueAsString(row) : row.toText());
    } catch (JsonProcessingException failure) {
      throw new UncheckedIOException(failure);
    }
  }
}
