package org.snipewick.systemtests;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.snipewick.bench.cluster.Await;
import org.snipewick.bench.cluster.Cluster;

/**
 * Tests that leaving endpoints get no new requests, and that planned stops of instances break no
 * stream.
 */
class LeavingTest {
  private static final Duration WAIT_TIMEOUT = Duration.ofSeconds(3);
  private Cluster cluster;

  @AfterEach
  void stop() {
    cluster.close();
  }

  @ParameterizedTest
  @ValueSource(strings = {"report", "list", "catalogue"})
  void shouldSendNothingNewAfterThreeSecondsWhenEndpointLeaves(String source) {
    cluster =
        Cluster.start("--list-lag-millis", "1000")
            .startEngine("engine-1", "wien-a")
            .startEngine("engine-2", "wien-a")
            .startEntries("wien-a.1", "wien-a.2", "linz.1")
            .applyTestCatalogue("wien-a.1");
    sendRequests(12);
    startLeaving(source);
    Await.until(WAIT_TIMEOUT, "2.9 seconds to pass", elapsed(Duration.ofMillis(2900)));
    int dispatchesBefore = dispatches("engine-1");
    sendRequests(30);
    assertThat(dispatches("engine-1")).isEqualTo(dispatchesBefore);
    assertThat(dispatches("engine-2")).isGreaterThanOrEqualTo(30);
  }

  @Test
  void shouldBreakNoStreamWhenTwoInstancesStopAsPlannedAtOnce() {
    cluster =
        Cluster.start()
            .startEngine("engine-1", "wien-a", "--decode-millis-per-token", "40")
            .startEngine("engine-2", "linz", "--decode-millis-per-token", "40")
            .startEntries("wien-a.1", "wien-a.2", "linz.1", "linz.2")
            .applyTestCatalogue("wien-a.1");
    List<CompletableFuture<HttpResponse<String>>> streams = new ArrayList<>();
    for (int index = 0; index < 24; index++) {
      String instance = List.of("wien-a.1", "wien-a.2", "linz.1", "linz.2").get(index % 4);
      streams.add(cluster.sendChatRequest(instance, "caller<" + index + ">", 70, true, Map.of()));
    }
    Await.until(
        WAIT_TIMEOUT, "dispatches", () -> dispatches("engine-1") + dispatches("engine-2") >= 16);
    cluster.process("wien-a.1").terminate();
    cluster.process("linz.1").terminate();
    for (int index = 0; index < streams.size(); index++) {
      HttpResponse<String> response = streams.get(index).join();
      assertThat(response.statusCode()).as(response.body()).isEqualTo(200);
      assertThat(response.body()).contains("caller<" + index + ">");
      assertThat(response.body().strip()).endsWith("data: [DONE]");
    }
    cluster.process("wien-a.1").awaitExit();
    cluster.process("linz.1").awaitExit();
    assertThat(cluster.sendChatRequest("wien-a.2", "after", 2, false, Map.of()).join().statusCode())
        .isEqualTo(200);
  }

  private void startLeaving(String source) {
    switch (source) {
      case "report" ->
          cluster.sendControlCall(
              "PUT", cluster.address("engine-1"), "state", "{\"state\":\"leaving\"}");
      case "list" -> {
        String address = cluster.address("engine-1");
        int port = Integer.parseInt(address.substring(address.indexOf(':') + 1));
        cluster.putListedInstance("engine-1", "engine", "wien-a", port, "planner", "leaving");
        cluster.publishList();
      }
      default ->
          assertThat(
                  cluster
                      .editCatalogue(
                          "linz.1",
                          1,
                          "{\"edits\":[{\"edit\":\"put\",\"entry\":{\"kind\":\"endpoint\","
                              + "\"name\":\"engine-1\",\"owner\":\"ops\",\"tier\":4,"
                              + "\"drained\":true,\"checksFencing\":false}}]}")
                      .statusCode())
              .isEqualTo(200);
    }
  }

  private void sendRequests(int count) {
    List<CompletableFuture<HttpResponse<String>>> responses = new ArrayList<>();
    for (int index = 0; index < count; index++) {
      String instance = List.of("wien-a.1", "wien-a.2", "linz.1").get(index % 3);
      responses.add(cluster.sendChatRequest(instance, "ask " + index, 2, false, Map.of()));
    }
    responses.forEach(
        response ->
            assertThat(response.join().statusCode()).as(response.join().body()).isEqualTo(200));
  }

  private int dispatches(String engine) {
    return cluster.counters(engine).path("dispatches").size();
  }

  private static BooleanSupplier elapsed(Duration time) {
    long endNanos = System.nanoTime() + time.toNanos();
    return () -> System.nanoTime() > endNanos;
  }
}
