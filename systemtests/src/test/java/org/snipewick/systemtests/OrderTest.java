package org.snipewick.systemtests;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.snipewick.bench.cluster.Await;
import org.snipewick.bench.cluster.Cluster;
import org.snipewick.bench.cluster.Http;

/**
 * Tests that orders of operators are sent to endpoints under a lease, and that each holder has a
 * higher fencing number than the one before.
 */
class OrderTest {

  @Test
  void shouldSendOrdersWithGrowingFencingNumbersWhenInstancesTakeTurns() {
    try (Cluster cluster =
        Cluster.start()
            .startEngine("engine-1", "wien-a", "--checks-fencing")
            .startEntries("wien-a.1", "wien-a.2")
            .applyTestCatalogue("wien-a.1")) {
      for (String instance : List.of("wien-a.1", "wien-a.2", "wien-a.1")) {
        Await.until(
            Duration.ofSeconds(40),
            "order through " + instance,
            () -> sendOrder(cluster, instance).statusCode() == 200);
      }
      JsonNode orders = cluster.counters("engine-1").path("orders");
      assertThat(orders.size()).isEqualTo(3);
      assertThat(orders.get(1).path("fencing").asLong())
          .isGreaterThan(orders.get(0).path("fencing").asLong());
      assertThat(orders.get(2).path("fencing").asLong())
          .isGreaterThan(orders.get(1).path("fencing").asLong());
    }
  }

  @ParameterizedTest
  @CsvSource({"planner, absent", "another, adapter-7"})
  void shouldSendNoOrderWhenWeightsOrPoolAreUnknown(String pool, String argument) {
    try (Cluster cluster =
        Cluster.start()
            .startEngine("engine-1", "wien-a")
            .startEntries("wien-a.1")
            .applyTestCatalogue("wien-a.1")) {
      cluster.sendControlCall("PUT", cluster.address("platform"), "weights", "[\"adapter-7\"]");
      HttpResponse<String> response = sendOrder(cluster, "wien-a.1", pool, argument);

      assertThat(response.statusCode()).as(response.body()).isEqualTo(404);
      assertThat(Http.json(response.body()).path("outcome").asText()).isEqualTo("not-run");
      assertThat(cluster.counters("engine-1").path("orders").size()).isZero();
    }
  }

  private static HttpResponse<String> sendOrder(Cluster cluster, String instance) {
    return sendOrder(cluster, instance, "planner", "adapter-7");
  }

  private static HttpResponse<String> sendOrder(
      Cluster cluster, String instance, String pool, String argument) {
    return cluster.postAsOperator(
        instance,
        "/admin/pools/" + pool + "/endpoints/engine-1/orders",
        "{\"order\":\"load\",\"argument\":\"" + argument + "\"}",
        Map.of());
  }
}
