package org.snipewick.systemtests;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.snipewick.bench.cluster.Await;
import org.snipewick.bench.cluster.Cluster;
import org.snipewick.bench.cluster.Http;
import org.snipewick.membership.Rendezvous;

/** Two of registrar, witness and claimer of a keyed request are killed at once. */
class TwoDeathsTest {
  private static final Duration REACTION = Duration.ofSeconds(20);
  private static final List<String> DOMAIN =
      List.of("wien-a.1", "wien-a.2", "wien-a.3", "wien-a.4");
  private Cluster cluster;
  private String key;
  private List<String> ranked;

  @BeforeEach
  void start() {
    cluster =
        Cluster.start()
            .engine("engine-1", "wien-a", "--decode-millis-per-token", "40")
            .engine("engine-2", "linz", "--decode-millis-per-token", "40")
            .entries("wien-a.1", "wien-a.2", "wien-a.3", "wien-a.4", "linz.1")
            .catalogue("wien-a.1");
    key = "wien-a.question";
    ranked = Rendezvous.rank("dispatchers/" + key, DOMAIN, name -> name);
  }

  @AfterEach
  void stop() {
    cluster.close();
  }

  /** Ranks: 0 is the registrar, 1 the witness, 2 the claimer. */
  @ParameterizedTest
  @CsvSource({"0, 1", "0, 2", "1, 2"})
  void shouldNeverDispatchTwiceWhenTwoAreKilledMidStream(int one, int other) {
    final CompletableFuture<HttpResponse<String>> first = ask(ranked.get(2));
    Await.until(REACTION, "dispatch", () -> dispatches() == 1);
    kill(one, other);
    for (String instance : List.of(ranked.get(3), "linz.1", ranked.get(3), "linz.1")) {
      HttpResponse<String> repeat = ask(instance).join();
      assertTruthful(repeat, first);
    }
    if (one != 2 && other != 2) {
      assertThat(first.join().statusCode()).isEqualTo(200);
      assertThat(first.join().body().strip()).endsWith("data: [DONE]");
    }
    first.exceptionally(failure -> null).join();
    assertTruthful(ask(ranked.get(3)).join(), first);
    assertThat(dispatches()).isEqualTo(1);
  }

  @ParameterizedTest
  @ValueSource(ints = {0, 1})
  void shouldStayTruthfulWhenClaimerAndAnotherAreKilledRightAfterTheAnswer(int other) {
    HttpResponse<String> first = ask(ranked.get(2)).join();
    assertThat(first.statusCode()).as(first.body()).isEqualTo(200);
    kill(other, 2);
    for (String instance : List.of(ranked.get(3), "linz.1")) {
      assertTruthful(ask(instance).join(), CompletableFuture.completedFuture(first));
    }
    assertThat(dispatches()).isEqualTo(1);
  }

  @ParameterizedTest
  @ValueSource(ints = {0, 1})
  void shouldGiveStoredAnswerWhenClaimerAndAnotherAreKilledOnceItIsRemembered(int other) {
    HttpResponse<String> first = ask(ranked.get(2)).join();
    assertThat(first.statusCode()).as(first.body()).isEqualTo(200);
    Await.until(REACTION, "answer is remembered", () -> isSame(ask(ranked.get(3)).join(), first));
    kill(other, 2);
    List<String> answers = new ArrayList<>();
    for (String instance : List.of(ranked.get(3), "linz.1")) {
      Await.until(
          REACTION,
          () -> "answer through " + instance + ": " + answers,
          () -> {
            HttpResponse<String> repeat = ask(instance).join();
            answers.add(repeat.body());
            return isSame(repeat, first);
          });
    }
    assertThat(dispatches()).isEqualTo(1);
  }

  private void kill(int one, int other) {
    cluster.process(ranked.get(one)).kill();
    cluster.process(ranked.get(other)).kill();
  }

  /** The repeat has the first call's answer, or does not say that the request was not run. */
  private void assertTruthful(
      HttpResponse<String> repeat, CompletableFuture<HttpResponse<String>> first) {
    if (repeat.statusCode() == 200) {
      assertThat(repeat.body()).isEqualTo(first.join().body());
    } else {
      assertThat(Http.json(repeat.body()).path("outcome").asText())
          .as(repeat.body())
          .isNotEqualTo("not-run");
    }
  }

  private static boolean isSame(HttpResponse<String> repeat, HttpResponse<String> first) {
    return repeat.statusCode() == 200 && repeat.body().equals(first.body());
  }

  private CompletableFuture<HttpResponse<String>> ask(String instance) {
    return cluster.model(instance, "long route", 60, true, Map.of("Idempotency-Key", key));
  }

  private int dispatches() {
    return cluster.truth("engine-1").path("byKey").path(key).asInt()
        + cluster.truth("engine-2").path("byKey").path(key).asInt();
  }
}
