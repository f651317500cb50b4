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

/** Entry instances die or are paused while a request waits on them, and the caller repeats it. */
class InstanceDeathTest {
  private static final Duration REACTION = Duration.ofSeconds(10);
  private Cluster cluster;

  @BeforeEach
  void start() {
    cluster =
        Cluster.start()
            .engine("engine-1", "wien-a", "--decode-millis-per-token", "40")
            .engine("engine-2", "linz", "--decode-millis-per-token", "40")
            .service("orders-1", "wien-a", "--work-millis", "1500")
            .entries("wien-a.1", "wien-a.2", "wien-a.3", "linz.1", "linz.2")
            .catalogue("wien-a.1");
  }

  @AfterEach
  void stop() {
    cluster.close();
  }

  @ParameterizedTest
  @CsvSource({"kill, wien-a.2", "kill, linz.1", "pause, wien-a.2", "pause, linz.1"})
  void shouldNeverBookTwiceWhenEntryFailsAfterDispatch(String fault, String repeatThrough) {
    final CompletableFuture<HttpResponse<String>> first = cluster.book("wien-a.1", "b-1");
    Await.until(
        REACTION,
        () -> "dispatch; seen " + calls("orders-1") + "; answer " + Http.progress(first),
        () -> calls("orders-1") == 1);
    strike(fault, "wien-a.1");
    for (int repeat = 0; repeat < 4; repeat++) {
      HttpResponse<String> answer = cluster.book(repeatThrough, "b-1").join();
      assertThat(answer.statusCode()).as(answer.body()).isNotEqualTo(200);
      assertThat(Http.json(answer.body()).path("outcome").asText())
          .as(answer.body())
          .isIn("unknown", "ran");
    }
    if (fault.equals("pause")) {
      cluster.process("wien-a.1").resume();
      assertThat(first.join().statusCode()).isIn(200, 502);
    }
    assertThat(cluster.truth("orders-1").path("effects").path("b-1").asInt()).isEqualTo(1);
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
      String fault, String victim, String repeatThrough) {
    Map<String, String> key = Map.of("Idempotency-Key", "question-1");
    final CompletableFuture<HttpResponse<String>> first =
        cluster.model(victim, "long route", 60, true, key);
    Await.until(
        REACTION,
        () -> "dispatch; seen " + dispatches("question-1") + "; answer " + Http.progress(first),
        () -> dispatches("question-1") == 1);
    strike(fault, victim);
    for (int repeat = 0; repeat < 5; repeat++) {
      HttpResponse<String> answer =
          cluster.model(repeatThrough, "long route", 60, true, key).join();
      assertThat(answer.statusCode()).as(answer.body()).isNotEqualTo(200);
      assertThat(Http.json(answer.body()).path("outcome").asText())
          .as(answer.body())
          .isEqualTo("unknown");
    }
    if (fault.equals("pause")) {
      cluster.process(victim).resume();
      first.exceptionally(failure -> null).join();
    }
    assertThat(dispatches("question-1")).isEqualTo(1);
  }

  @ParameterizedTest
  @CsvSource({"kill, wien-a.1", "kill, wien-a.2", "pause, wien-a.3", "pause, linz.1"})
  void shouldGiveStoredAnswerWhenAnyOneInstanceFailsAfterwards(String fault, String victim) {
    Map<String, String> key = Map.of("Idempotency-Key", "question-2");
    HttpResponse<String> first = cluster.model("wien-a.3", "short", 3, false, key).join();
    assertThat(first.statusCode()).as(first.body()).isEqualTo(200);
    strike(fault, victim);
    List<String> others =
        List.of("wien-a.1", "wien-a.2", "wien-a.3", "linz.1", "linz.2").stream()
            .filter(name -> !name.equals(victim))
            .toList();
    for (String instance : others) {
      Await.until(
          REACTION,
          "answer through " + instance,
          () -> {
            HttpResponse<String> answer = cluster.model(instance, "short", 3, false, key).join();
            return answer.statusCode() == 200 && answer.body().equals(first.body());
          });
    }
    assertThat(dispatches("question-2")).isEqualTo(1);
  }

  @ParameterizedTest
  @CsvSource({"kill", "pause"})
  void shouldGoOnServingNewRequestsWhenOneInstanceFails(String fault) {
    strike(fault, "wien-a.1");
    for (String instance : List.of("wien-a.2", "wien-a.3", "linz.1", "linz.2")) {
      Await.until(
          REACTION,
          "service through " + instance,
          () -> cluster.model(instance, "new", 2, false, Map.of()).join().statusCode() == 200);
    }
  }

  private void strike(String fault, String victim) {
    if (fault.equals("kill")) {
      cluster.process(victim).kill();
    } else {
      cluster.process(victim).pause();
    }
  }

  private int calls(String service) {
    return cluster.truth(service).path("calls").asInt();
  }

  private int dispatches(String key) {
    return cluster.truth("engine-1").path("byKey").path(key).asInt()
        + cluster.truth("engine-2").path("byKey").path(key).asInt();
  }
}
