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

/** Measures processor, memory and bytes by number of instances, endpoints, teams and requests. */
public final class CostBench {
  private static final int[] INSTANCES = {2, 4, 8, 16};
  private static final int[] ENDPOINTS = {1, 100, 300};
  private static final int[] TEAMS = {2, 3_000, 9_100};
  private static final int[] REQUESTS_PER_SECOND = {20, 60, 120};
  private static final int THREAD_INSTANCES = 4;
  private static final int CHANGES = 10;
  private static final int ENTRIES_PER_CHANGE = 1_000;
  private static final int MODELS = 27;
  private static final int OK = 200;
  private static final long SETTLE_SECONDS = 20;
  private static final double MICROS_PER_MILLI = 1_000;
  private static final double MEDIAN = 50;
  private static final double TAIL = 99;
  private static final ObjectMapper JSON = new ObjectMapper();

  private final int seconds;
  private final boolean json;
  private final PrintStream out;

  /**
   * Creates a bench.
   *
   * @param seconds length of each measurement, positive
   * @param json whether to print a JSON object a row
   * @param out where to print
   */
  public CostBench(int seconds, boolean json, PrintStream out) {
    this.seconds = seconds;
    this.json = json;
    this.out = requireNonNull(out, "out");
  }

  /**
   * Measures one series or all.
   *
   * @param series instances, domains, endpoints, teams, threads, requests or keys; empty for all
   */
  public void run(String series) {
    if (!json) {
      out.println(CostRow.header());
    }
    Map<String, Runnable> all =
        Map.of(
            "instances", () -> instances("instances", 1),
            "domains", () -> instances("domains", 4),
            "endpoints", this::endpoints,
            "teams", this::teams,
            "threads", this::threads,
            "requests", () -> requests("requests", false),
            "keys", () -> requests("keys", true));
    all.entrySet().stream()
        .filter(entry -> series.isEmpty() || entry.getKey().equals(series))
        .sorted(Map.Entry.comparingByKey())
        .forEach(entry -> entry.getValue().run());
  }

  private void instances(String series, int domains) {
    for (int count : INSTANCES) {
      List<String> names = names(count, Math.min(domains, count));
      try (Cluster cluster = Cluster.start().entries(names.toArray(String[]::new))) {
        cluster.catalogue(names.get(0));
        print(CostRow.of(series, count, idle(cluster, names)));
      }
    }
  }

  private void endpoints() {
    for (int count : ENDPOINTS) {
      List<String> names = names(2, 1);
      try (Cluster cluster = Cluster.start().engine("engine-0", "domain-0")) {
        String address = cluster.address("engine-0");
        int port = Integer.parseInt(address.substring(address.indexOf(':') + 1));
        for (int index = 1; index < count; index++) {
          cluster.list("engine-" + index, "engine", "domain-0", port, "planner", "live");
        }
        cluster.entries(names.toArray(String[]::new)).catalogue(names.get(0));
        print(CostRow.of("endpoints", count, idle(cluster, names)));
      }
    }
  }

  private void threads() {
    List<String> names = names(THREAD_INSTANCES, 1);
    try (Cluster cluster = Cluster.start().entries(names.toArray(String[]::new))) {
      cluster.catalogue(names.get(0));
      new ThreadBench(seconds, out).run(cluster, names);
    }
  }

  private void teams() {
    for (int count : TEAMS) {
      List<String> names = names(4, 2);
      try (Cluster cluster = Cluster.start().entries(names.toArray(String[]::new))) {
        cluster.catalogue(names.get(0));
        long version = addTeams(cluster, names.get(0), count);
        names.forEach(name -> cluster.awaitVersion(name, version));
        Sample before = settled(cluster, names);
        for (int change = 0; change < CHANGES; change++) {
          String edits = TestCatalogue.modelEdit("owner-" + change);
          int status = cluster.edit(names.get(0), version + change, edits).statusCode();
          if (status != OK) {
            throw new IllegalStateException("change refused: " + status);
          }
        }
        Pause.seconds(seconds);
        print(CostRow.of("teams", count, used(cluster, names, before)));
      }
    }
  }

  private static long addTeams(Cluster cluster, String instance, int count) {
    List<String> edits = new ArrayList<>();
    for (int model = 1; model < MODELS; model++) {
      edits.add(TestCatalogue.model("model-" + model, "planning"));
    }
    for (int team = 2; team < count; team++) {
      edits.add(TestCatalogue.team("team-" + team, 3, "token-" + team));
    }
    long version = 1;
    for (int first = 0; first < edits.size(); first += ENTRIES_PER_CHANGE) {
      List<String> part = edits.subList(first, Math.min(edits.size(), first + ENTRIES_PER_CHANGE));
      int status =
          cluster
              .edit(instance, version, "{\"edits\":[" + String.join(",", part) + "]}")
              .statusCode();
      if (status != OK) {
        throw new IllegalStateException("teams refused: " + status);
      }
      version++;
    }
    return version;
  }

  private void requests(String series, boolean keyed) {
    List<String> names = names(4, 2);
    try (Cluster cluster =
        Cluster.start()
            .engine("engine-0", "domain-0", "--max-in-flight", "256")
            .engine("engine-1", "domain-1", "--max-in-flight", "256")
            .entries(names.toArray(String[]::new))) {
      cluster.catalogue(names.get(0));
      load(cluster, names, 40, keyed);
      for (int rate : REQUESTS_PER_SECOND) {
        Histogram direct =
            RequestLoad.run(
                rate, seconds, index -> RequestLoad.direct(cluster.address("engine-0"), index));
        Sample before = Sample.of(cluster, names);
        Histogram through = load(cluster, names, rate, keyed);
        Sample.Use use = Sample.of(cluster, names).since(before, names.size());
        print(
            CostRow.of(series, rate, use)
                .withLatency(added(direct, through, MEDIAN), added(direct, through, TAIL)));
      }
    }
  }

  private Histogram load(Cluster cluster, List<String> names, int rate, boolean keyed) {
    return RequestLoad.run(
        rate,
        seconds,
        index ->
            cluster.sendChatRequest(
                names.get(index % names.size()),
                "tank",
                2,
                false,
                keyed ? Map.of("Idempotency-Key", UUID.randomUUID().toString()) : Map.of()));
  }

  private static double added(Histogram direct, Histogram through, double percentile) {
    long difference =
        through.getValueAtPercentile(percentile) - direct.getValueAtPercentile(percentile);
    return difference / MICROS_PER_MILLI;
  }

  private Sample.Use idle(Cluster cluster, List<String> names) {
    Sample before = settled(cluster, names);
    Pause.seconds(seconds);
    return used(cluster, names, before);
  }

  /**
   * Returns the use since a sample, with the memory that is held after all garbage is collected.
   */
  private static Sample.Use used(Cluster cluster, List<String> names, Sample before) {
    Sample.Use use = Sample.of(cluster, names).since(before, names.size());
    names.forEach(name -> cluster.process(name).collectGarbage());
    return use.withMemory(Sample.of(cluster, names), names.size());
  }

  private static Sample settled(Cluster cluster, List<String> names) {
    Pause.seconds(SETTLE_SECONDS);
    return Sample.of(cluster, names);
  }

  private static List<String> names(int count, int domains) {
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
