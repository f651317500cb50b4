package org.snipewick.bench.soak;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.snipewick.bench.cluster.Cluster;
import org.snipewick.bench.cluster.Links;

/** The cluster of a run: two failure domains, engines and services in both. */
final class SoakCluster {
  static final String PLATFORM = "platform";
  static final List<String> INSTANCES =
      List.of("wien-a.1", "wien-a.2", "wien-a.3", "linz.1", "linz.2");
  static final List<String> ENGINES = List.of("engine-1", "engine-2", "engine-3");
  static final List<String> SERVICES = List.of("orders-1", "orders-2");
  static final List<String> ENDPOINTS =
      List.of("engine-1", "engine-2", "engine-3", "orders-1", "orders-2");

  private SoakCluster() {}

  static Cluster start(Links links) {
    return Cluster.start(links)
        .startEngine("engine-1", "wien-a", "--decode-millis-per-token", "20")
        .startEngine("engine-2", "wien-a", "--decode-millis-per-token", "20")
        .startEngine("engine-3", "linz", "--decode-millis-per-token", "20")
        .startService("orders-1", "wien-a", "--work-millis", "200")
        .startService("orders-2", "linz", "--work-millis", "200")
        .startEntries(INSTANCES.toArray(String[]::new))
        .applyTestCatalogue("wien-a.1");
  }

  /** Returns how often each request ran according to the endpoints, by the name of the request. */
  static Map<String, Integer> runsByName(Cluster cluster) {
    Map<String, Integer> runs = new TreeMap<>();
    for (String engine : ENGINES) {
      addCounts(runs, cluster, engine, "byKey");
    }
    for (String service : SERVICES) {
      addCounts(runs, cluster, service, "effects");
    }
    return runs;
  }

  /**
   * Returns how often each dispatch arrived according to the engines, by the identifier of the
   * dispatch.
   */
  static Map<String, Integer> dispatchesById(Cluster cluster) {
    Map<String, Integer> dispatches = new TreeMap<>();
    for (String engine : ENGINES) {
      addCounts(dispatches, cluster, engine, "dispatches");
    }
    return dispatches;
  }

  private static void addCounts(
      Map<String, Integer> sums, Cluster cluster, String endpoint, String counter) {
    cluster
        .counters(endpoint)
        .path(counter)
        .properties()
        .forEach(field -> sums.merge(field.getKey(), field.getValue().asInt(), Integer::sum));
  }
}
