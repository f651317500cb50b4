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

/** Endpoints that leave get nothing new; instances that stop as planned cut nothing. */
class LeavingTest {
  private static final Duration FEW_SECONDS = Duration.ofSeconds(3);
  private Cluster cluster;

  @AfterEach
  void stop() {
    cluster.close();
  }

  @ParameterizedTest
  @ValueSource(strings = {"report", "list", "catalogue"})
  void shouldGetNothingNewAfterFewSecondsWhenEndpointLeaves(String source) {
    cluster =
        Cluster.start("--list-lag-millis", "1000")
            .engine("engine-1", "wien-a")
            .engine("engine-2", "wien-a")
            .entries("wien-a.1", "wien-a.2", "linz.1")
            .catalogue("wien-a.1");
    ask(12);
    leave(source);
    Await.until(FEW_SECONDS, "three seconds", elapsed(Duration.ofMillis(2900)));
    int before = total("engine-1");
    ask(30);
    assertThat(total("engine-1")).isEqualTo(before);
    assertThat(total("engine-2")).isGreaterThanOrEqualTo(30);
  }

  @Test
  void shouldCutNoStreamWhenTwoInstancesStopAsPlannedAtOnce() {
    cluster =
        Cluster.start()
            .engine("engine-1", "wien-a", "--decode-millis-per-token", "40")
            .engine("engine-2", "linz", "--decode-millis-per-token", "40")
            .entries("wien-a.1", "wien-a.2", "linz.1", "linz.2")
            .catalogue("wien-a.1");
    List<CompletableFuture<HttpResponse<String>>> streams = new ArrayList<>();
    for (int index = 0; index < 24; index++) {
      String instance = List.of("wien-a.1", "wien-a.2", "linz.1", "linz.2").get(index % 4);
      streams.add(cluster.model(instance, "caller<" + index + ">", 70, true, Map.of()));
    }
    Await.until(FEW_SECONDS, "dispatches", () -> total("engine-1") + total("engine-2") >= 16);
    cluster.process("wien-a.1").terminate();
    cluster.process("linz.1").terminate();
    for (int index = 0; index < streams.size(); index++) {
      HttpResponse<String> answer = streams.get(index).join();
      assertThat(answer.statusCode()).as(answer.body()).isEqualTo(200);
      assertThat(answer.body()).contains("caller<" + index + ">");
      assertThat(answer.body().strip()).endsWith("data: [DONE]");
    }
    cluster.process("wien-a.1").awaitExit();
    cluster.process("linz.1").awaitExit();
    assertThat(cluster.model("wien-a.2", "after", 2, false, Map.of()).join().statusCode())
        .isEqualTo(200);
  }

  private void leave(String source) {
    switch (source) {
      case "report" ->
          cluster.control("PUT", cluster.address("engine-1"), "state", "{\"state\":\"leaving\"}");
      case "list" -> {
        String address = cluster.address("engine-1");
        int port = Integer.parseInt(address.substring(address.indexOf(':') + 1));
        cluster.list("engine-1", "engine", "wien-a", port, "planner", "leaving");
        cluster.publishList();
      }
      default ->
          assertThat(
                  cluster
                      .edit(
                          "linz.1",
                          1,
                          "{\"edits\":[{\"edit\":\"put\",\"entry\":{\"kind\":\"endpoint\","
                              + "\"name\":\"engine-1\",\"owner\":\"ops\",\"tier\":4,"
                              + "\"drained\":true,\"checksFencing\":false}}]}")
                      .statusCode())
              .isEqualTo(200);
    }
  }

  private void ask(int count) {
    List<CompletableFuture<HttpResponse<String>>> answers = new ArrayList<>();
    for (int index = 0; index < count; index++) {
      String instance = List.of("wien-a.1", "wien-a.2", "linz.1").get(index % 3);
      answers.add(cluster.model(instance, "ask " + index, 2, false, Map.of()));
    }
    answers.forEach(
        answer -> assertThat(answer.join().statusCode()).as(answer.join().body()).isEqualTo(200));
  }

  private int total(String engine) {
    return cluster.truth(engine).path("dispatches").size();
  }

  private static BooleanSupplier elapsed(Duration time) {
    long end = System.nanoTime() + time.toNanos();
    return () -> System.nanoTime() > end;
  }
}
