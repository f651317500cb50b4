package org.snipewick.systemtests;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.snipewick.bench.cluster.Await;
import org.snipewick.bench.cluster.Cluster;

/** Tests that another instance takes over a pool's orders when the lease holder fails. */
class OrderTakeoverTest {
  private static final Duration TAKEOVER_TIMEOUT = Duration.ofSeconds(60);
  private static final Duration WAIT_TIMEOUT = Duration.ofSeconds(20);

  @ParameterizedTest
  @CsvSource({"pause, --checks-fencing", "pause, --cache-tokens=65536", "kill, --checks-fencing"})
  void shouldSendNoOrderOfOldHolderAfterFirstOrderOfNewHolderWhenOldHolderFails(
      String fault, String engineOption) {
    try (Cluster cluster =
        Cluster.start()
            .startEngine("engine-1", "wien-a", engineOption.split("="))
            .startEntries("wien-a.1", "wien-a.2")
            .applyTestCatalogue("wien-a.1")) {
      cluster.setFaults("engine-1", "{\"delayMillis\":3000}");
      List<CompletableFuture<Integer>> oldHolderOrders = new ArrayList<>();
      oldHolderOrders.add(sendOrderAsync(cluster, "wien-a.1", "first"));
      Await.until(WAIT_TIMEOUT, "order of the old holder", () -> hasSentOrder(cluster, "wien-a.1"));
      injectFault(cluster, fault);
      cluster.setFaults("engine-1", "{}");
      if (fault.equals("pause")) {
        oldHolderOrders.add(sendOrderAsync(cluster, "wien-a.1", "late"));
        oldHolderOrders.add(sendOrderAsync(cluster, "wien-a.1", "later"));
      }
      Await.until(
          TAKEOVER_TIMEOUT,
          "order of the new holder",
          () -> sendOrder(cluster, "wien-a.2", "new") == 200);
      if (fault.equals("pause")) {
        cluster.process("wien-a.1").resume();
      }
      oldHolderOrders.forEach(order -> order.exceptionally(failure -> 0).join());
      assertThat(sendOrder(cluster, "wien-a.2", "last")).isIn(200, 409, 503);
      assertFencingNumbersGrow(cluster.counters("engine-1").path("orders"));
    }
  }

  private static void assertFencingNumbersGrow(JsonNode orders) {
    List<Long> fencingNumbers = new ArrayList<>();
    orders.forEach(order -> fencingNumbers.add(order.path("fencing").asLong()));
    assertThat(fencingNumbers).as(orders.toString()).isSorted().hasSizeGreaterThanOrEqualTo(2);
    assertThat(fencingNumbers.get(0))
        .as(orders.toString())
        .isLessThan(fencingNumbers.get(fencingNumbers.size() - 1));
  }

  private static void injectFault(Cluster cluster, String fault) {
    if (fault.equals("kill")) {
      cluster.process("wien-a.1").kill();
    } else {
      cluster.process("wien-a.1").pause();
    }
  }

  private static boolean hasSentOrder(Cluster cluster, String instance) {
    return cluster.getAsOperator(instance, "/admin/timeline").toString().contains("ORDER_SENT");
  }

  private static CompletableFuture<Integer> sendOrderAsync(
      Cluster cluster, String instance, String argument) {
    return CompletableFuture.supplyAsync(() -> sendOrder(cluster, instance, argument));
  }

  private static int sendOrder(Cluster cluster, String instance, String argument) {
    HttpResponse<String> response =
        cluster.postAsOperator(
            instance,
            "/admin/pools/planner/endpoints/engine-1/orders",
            "{\"order\":\"load\",\"argument\":\"" + argument + "\"}",
            Map.of());
    return response.statusCode();
  }
}
