package org.snipewick.systemtests;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Stream;
import java.util.stream.StreamSupport;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.snipewick.bench.cluster.Await;
import org.snipewick.bench.cluster.Cluster;

/** Tests the planned stop of an instance while the scheduler is killed with requests queued. */
class StopWithKillTest {
  private static final Duration WAIT_TIMEOUT = Duration.ofSeconds(20);
  private static final List<String> INSTANCES = List.of("wien-a.1", "wien-a.2", "wien-a.3");
  private static final int STREAMS = 16;
  private static final int SLOTS = 8;
  private Cluster cluster;

  @BeforeEach
  void start() {
    String[] slow = {"--max-in-flight", "4", "--decode-millis-per-token", "40"};
    cluster =
        Cluster.start()
            .startEngine("engine-1", "wien-a", slow)
            .startEngine("engine-2", "wien-a", slow)
            .startEntries(INSTANCES.toArray(String[]::new))
            .applyTestCatalogue("wien-a.1");
  }

  @AfterEach
  void stop() {
    cluster.close();
  }

  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void shouldBreakNoStreamOfOtherInstancesWhenOneStopsAndSchedulerIsKilled(boolean stopFirst) {
    assertThat(sendStream("wien-a.1", "warm").join().statusCode()).isEqualTo(200);
    String scheduler =
        INSTANCES.stream()
            .filter(name -> events(name, "POOL_TAKEN_OVER").findAny().isPresent())
            .findFirst()
            .orElseThrow();
    List<String> others = INSTANCES.stream().filter(name -> !name.equals(scheduler)).toList();
    List<CompletableFuture<HttpResponse<String>>> streams = new ArrayList<>();
    for (int index = 0; index < STREAMS; index++) {
      streams.add(sendStream(others.get(index % 2), "caller<" + index + ">"));
    }
    Await.until(
        WAIT_TIMEOUT,
        "work is queued and dispatched",
        () -> queuedCount(scheduler) >= STREAMS && dispatches() > SLOTS - 2);
    if (stopFirst) {
      cluster.process(others.get(0)).terminate();
      cluster.process(scheduler).kill();
    } else {
      cluster.process(scheduler).kill();
      cluster.process(others.get(0)).terminate();
    }
    for (int index = 0; index < STREAMS; index++) {
      HttpResponse<String> response = streams.get(index).join();
      assertThat(response.statusCode()).as(response.body()).isEqualTo(200);
      assertThat(response.body()).contains("caller<" + index + ">");
      assertThat(response.body().strip()).endsWith("data: [DONE]");
    }
    cluster.process(others.get(0)).awaitExit();
    assertThat(dispatches()).isEqualTo(STREAMS + 1);
    assertThat(sendStream(others.get(1), "after").join().statusCode()).isEqualTo(200);
  }

  private CompletableFuture<HttpResponse<String>> sendStream(String instance, String question) {
    return cluster.sendChatRequest(instance, question, 50, true, Map.of());
  }

  private int dispatches() {
    return cluster.counters("engine-1").path("dispatches").size()
        + cluster.counters("engine-2").path("dispatches").size();
  }

  private long queuedCount(String scheduler) {
    return events(scheduler, "REQUEST_QUEUED")
            .filter(event -> event.path("details").path("state").asText().equals("waiting"))
            .count()
        - 1;
  }

  private Stream<JsonNode> events(String instance, String type) {
    JsonNode events = cluster.getAsOperator(instance, "/admin/timeline").path("events");
    return StreamSupport.stream(events.spliterator(), false)
        .filter(event -> event.path("type").asText().equals(type));
  }
}
