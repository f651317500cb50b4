package org.snipewick.systemtests;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.snipewick.bench.cluster.Await;
import org.snipewick.bench.cluster.Cluster;
import org.snipewick.bench.cluster.Http;

/**
 * Tests duplicate requests after an entry instance was killed or paused, mostly while it served the
 * first request.
 */
class InstanceFailureTest {
  private static final Duration WAIT_TIMEOUT = Duration.ofSeconds(10);
  private Cluster cluster;

  @BeforeEach
  void start() {
    cluster =
        Cluster.start()
            .startEngine("engine-1", "wien-a", "--decode-millis-per-token", "40")
            .startEngine("engine-2", "linz", "--decode-millis-per-token", "40")
            .startService("orders-1", "wien-a", "--work-millis", "1500")
            .startEntries("wien-a.1", "wien-a.2", "wien-a.3", "linz.1", "linz.2")
            .applyTestCatalogue("wien-a.1");
  }

  @AfterEach
  void stop() {
    cluster.close();
  }

  @ParameterizedTest
  @CsvSource({"kill, wien-a.2", "kill, linz.1", "pause, wien-a.2", "pause, linz.1"})
  void shouldNeverBookTwiceWhenEntryFailsAfterDispatch(String fault, String duplicateThrough) {
    final CompletableFuture<HttpResponse<String>> first = cluster.sendBooking("wien-a.1", "b-1");
    Await.until(
        WAIT_TIMEOUT,
        () -> "dispatch; seen " + calls("orders-1") + "; response " + Http.progress(first),
        () -> calls("orders-1") == 1);
    injectFault(fault, "wien-a.1");
    for (int duplicate = 0; duplicate < 4; duplicate++) {
      HttpResponse<String> response = cluster.sendBooking(duplicateThrough, "b-1").join();
      assertThat(response.statusCode()).as(response.body()).isNotEqualTo(200);
      assertThat(Http.json(response.body()).path("outcome").asText())
          .as(response.body())
          .isIn("unknown", "ran");
    }
    if (fault.equals("pause")) {
      cluster.process("wien-a.1").resume();
      assertThat(first.join().statusCode()).isIn(200, 502);
    }
    assertThat(cluster.counters("orders-1").path("effects").path("b-1").asInt()).isEqualTo(1);
  }

  @ParameterizedTest
  @CsvSource({
    "kill, wien-a.1, wien-a.2",
    "kill, wien-a.2, linz.2",
    "kill, linz.1, linz.2",
    "pause, wien-a.1, wien-a.2",
    "pause, linz.1, wien-a.3"
  })
  void shouldNeverDispatchTwiceWhenEntryFailsMidStream(
      String fault, String failedInstance, String duplicateThrough) {
    Map<String, String> key = Map.of("Idempotency-Key", "question-1");
    final CompletableFuture<HttpResponse<String>> first =
        cluster.sendChatRequest(failedInstance, "long route", 60, true, key);
    Await.until(
        WAIT_TIMEOUT,
        () -> "dispatch; seen " + dispatches("question-1") + "; response " + Http.progress(first),
        () -> dispatches("question-1") == 1);
    injectFault(fault, failedInstance);
    for (int duplicate = 0; duplicate < 5; duplicate++) {
      HttpResponse<String> response =
          cluster.sendChatRequest(duplicateThrough, "long route", 60, true, key).join();
      assertThat(response.statusCode()).as(response.body()).isNotEqualTo(200);
      assertThat(Http.json(response.body()).path("outcome").asText())
          .as(response.body())
          .isEqualTo("unknown");
    }
    if (fault.equals("pause")) {
      cluster.process(failedInstance).resume();
      first.exceptionally(failure -> null).join();
    }
    assertThat(dispatches("question-1")).isEqualTo(1);
  }

  @ParameterizedTest
  @CsvSource({"kill, wien-a.1", "kill, wien-a.2", "pause, wien-a.3", "pause, linz.1"})
  void shouldReturnStoredResponseWhenAnyOneInstanceFailsAfterwards(
      String fault, String failedInstance) {
    Map<String, String> key = Map.of("Idempotency-Key", "question-2");
    HttpResponse<String> first = cluster.sendChatRequest("wien-a.3", "short", 3, false, key).join();
    assertThat(first.statusCode()).as(first.body()).isEqualTo(200);
    injectFault(fault, failedInstance);
    List<String> others =
        List.of("wien-a.1", "wien-a.2", "wien-a.3", "linz.1", "linz.2").stream()
            .filter(name -> !name.equals(failedInstance))
            .toList();
    for (String instance : others) {
      Await.until(
          WAIT_TIMEOUT,
          "response through " + instance,
          () -> {
            HttpResponse<String> response =
                cluster.sendChatRequest(instance, "short", 3, false, key).join();
            return response.statusCode() == 200 && response.body().equals(first.body());
          });
    }
    assertThat(dispatches("question-2")).isEqualTo(1);
  }

  @ParameterizedTest
  @CsvSource({"kill", "pause"})
  void shouldKeepServingNewRequestsWhenOneInstanceFails(String fault) {
    injectFault(fault, "wien-a.1");
    for (String instance : List.of("wien-a.2", "wien-a.3", "linz.1", "linz.2")) {
      Await.until(
          WAIT_TIMEOUT,
          "service through " + instance,
          () ->
              cluster.sendChatRequest(instance, "new", 2, false, Map.of()).join().statusCode()
                  == 200);
    }
  }

  private void injectFault(String fault, String failedInstance) {
    if (fault.equals("kill")) {
      cluster.process(failedInstance).kill();
    } else {
      cluster.process(failedInstance).pause();
    }
  }

  private int calls(String service) {
    return cluster.counters(service).path("calls").asInt();
  }

  private int dispatches(String key) {
    return cluster.counters("engine-1").path("byKey").path(key).asInt()
        + cluster.counters("engine-2").path("byKey").path(key).asInt();
  }
}
