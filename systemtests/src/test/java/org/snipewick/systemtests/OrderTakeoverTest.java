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

/** The holder of the orders of a pool is paused or killed while it holds the lease. */
class OrderTakeoverTest {
  private static final Duration TAKEOVER = Duration.ofSeconds(60);
  private static final Duration REACTION = Duration.ofSeconds(20);

  @ParameterizedTest
  @CsvSource({"pause, --checks-fencing", "pause, --cache-tokens=65536", "kill, --checks-fencing"})
  void shouldGiveNoOrderOfOldHolderAfterFirstOfNewOne(String fault, String engineOption) {
    try (Cluster cluster =
        Cluster.start()
            .engine("engine-1", "wien-a", engineOption.split("="))
            .entries("wien-a.1", "wien-a.2")
            .catalogue("wien-a.1")) {
      cluster.faults("engine-1", "{\"delayMillis\":3000}");
      List<CompletableFuture<Integer>> old = new ArrayList<>();
      old.add(begin(cluster, "wien-a.1", "first"));
      Await.until(REACTION, "order sent", () -> hasSent(cluster, "wien-a.1"));
      strike(cluster, fault);
      cluster.faults("engine-1", "{}");
      if (fault.equals("pause")) {
        old.add(begin(cluster, "wien-a.1", "late"));
        old.add(begin(cluster, "wien-a.1", "later"));
      }
      Await.until(
          TAKEOVER, "order of the new holder", () -> order(cluster, "wien-a.2", "new") == 200);
      if (fault.equals("pause")) {
        cluster.process("wien-a.1").resume();
      }
      old.forEach(each -> each.exceptionally(failure -> 0).join());
      assertThat(order(cluster, "wien-a.2", "last")).isIn(200, 409, 503);
      assertNumbersGrow(cluster.truth("engine-1").path("orders"));
    }
  }

  private static void assertNumbersGrow(JsonNode orders) {
    List<Long> numbers = new ArrayList<>();
    orders.forEach(order -> numbers.add(order.path("fencing").asLong()));
    assertThat(numbers).as(orders.toString()).isSorted().hasSizeGreaterThanOrEqualTo(2);
    assertThat(numbers.get(0)).as(orders.toString()).isLessThan(numbers.get(numbers.size() - 1));
  }

  private static void strike(Cluster cluster, String fault) {
    if (fault.equals("kill")) {
      cluster.process("wien-a.1").kill();
    } else {
      cluster.process("wien-a.1").pause();
    }
  }

  private static boolean hasSent(Cluster cluster, String instance) {
    return cluster.admin(instance, "/admin/timeline").toString().contains("ORDER_SENT");
  }

  private static CompletableFuture<Integer> begin(
      Cluster cluster, String instance, String argument) {
    return CompletableFuture.supplyAsync(() -> order(cluster, instance, argument));
  }

  private static int order(Cluster cluster, String instance, String argument) {
    HttpResponse<String> answer =
        cluster.operate(
            instance,
            "/admin/pools/planner/endpoints/engine-1/orders",
            "{\"order\":\"load\",\"argument\":\"" + argument + "\"}",
            Map.of());
    return answer.statusCode();
  }
}
