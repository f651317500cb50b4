package org.snipewick.systemtests;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.snipewick.bench.cluster.Await;
import org.snipewick.bench.cluster.Cluster;

/** Tests the first calls after a start, sent as soon as the instances report to be healthy. */
class FirstCallsTest {
  private static final List<String> INSTANCES =
      List.of("wien-a.1", "wien-a.2", "wien-a.3", "linz.1");
  private static final Duration WAIT_TIMEOUT = Duration.ofSeconds(30);
  private Cluster cluster;

  @BeforeEach
  void start() {
    cluster =
        Cluster.start()
            .startEngine("engine-1", "wien-a")
            .startEngine("engine-2", "wien-a")
            .startService("orders-1", "wien-a");
  }

  @AfterEach
  void stop() {
    cluster.close();
  }

  @Test
  void shouldServeFirstCallsWhenInstancesAreHealthy() {
    cluster.startEntries(INSTANCES.toArray(String[]::new)).applyTestCatalogue("wien-a.1");
    assertFirstCallsServed();
  }

  @Test
  void shouldServeFirstCallsWhenPlatformHangsDuringStart() {
    cluster.registerEntries(INSTANCES.toArray(String[]::new));
    cluster.process("platform").pause();
    INSTANCES.forEach(cluster::startEntry);
    for (String instance : INSTANCES) {
      Await.until(
          WAIT_TIMEOUT,
          instance + " reports that the platform is unavailable",
          () -> cluster.process(instance).log().contains("platform unavailable"));
    }
    cluster.process("platform").resume();
    INSTANCES.forEach(cluster::awaitServing);
    cluster.applyTestCatalogue("wien-a.1");
    assertFirstCallsServed();
  }

  /**
   * Sends a booking and keyed model requests to each instance, and checks that none fails. A key is
   * stored in the failure domain that its first part names.
   */
  private void assertFirstCallsServed() {
    Map<String, CompletableFuture<HttpResponse<String>>> calls = new TreeMap<>();
    for (String instance : INSTANCES) {
      calls.put(instance + " books", cluster.sendBooking(instance, "booking-" + instance));
      for (String keyDomain : List.of("wien-a", "linz")) {
        Map<String, String> key = Map.of("Idempotency-Key", keyDomain + ".question-" + instance);
        calls.put(
            instance + " Idempotency-Key of " + keyDomain,
            cluster.sendChatRequest(instance, "route", 2, false, key));
      }
    }
    calls.forEach(
        (name, call) -> assertThat(call.join().body()).as(name).doesNotContain("outcome"));
  }
}
