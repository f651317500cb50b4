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

/** Tests duplicate requests after two of registrar, witness and claimer were killed at once. */
class TwoInstancesKilledTest {
  private static final Duration WAIT_TIMEOUT = Duration.ofSeconds(20);
  private static final List<String> DOMAIN_INSTANCES =
      List.of("wien-a.1", "wien-a.2", "wien-a.3", "wien-a.4");
  private Cluster cluster;
  private String key;
  private List<String> ranked;

  @BeforeEach
  void start() {
    cluster =
        Cluster.start()
            .startEngine("engine-1", "wien-a", "--decode-millis-per-token", "40")
            .startEngine("engine-2", "linz", "--decode-millis-per-token", "40")
            .startEntries("wien-a.1", "wien-a.2", "wien-a.3", "wien-a.4", "linz.1")
            .applyTestCatalogue("wien-a.1");
    key = "wien-a.question";
    ranked = Rendezvous.rank("dispatchers/" + key, DOMAIN_INSTANCES, name -> name);
  }

  @AfterEach
  void stop() {
    cluster.close();
  }

  /** The parameters are ranks: 0 is the registrar, 1 the witness, 2 the claimer. */
  @ParameterizedTest
  @CsvSource({"0, 1", "0, 2", "1, 2"})
  void shouldNeverDispatchTwiceWhenTwoAreKilledMidStream(int one, int other) {
    final CompletableFuture<HttpResponse<String>> first = sendKeyed(ranked.get(2));
    Await.until(WAIT_TIMEOUT, "dispatch", () -> dispatches() == 1);
    kill(one, other);
    for (String instance : List.of(ranked.get(3), "linz.1", ranked.get(3), "linz.1")) {
      HttpResponse<String> duplicate = sendKeyed(instance).join();
      assertConsistentOutcome(duplicate, first);
    }
    if (one != 2 && other != 2) {
      assertThat(first.join().statusCode()).isEqualTo(200);
      assertThat(first.join().body().strip()).endsWith("data: [DONE]");
    }
    first.exceptionally(failure -> null).join();
    assertConsistentOutcome(sendKeyed(ranked.get(3)).join(), first);
    assertThat(dispatches()).isEqualTo(1);
  }

  @ParameterizedTest
  @ValueSource(ints = {0, 1})
  void shouldReportConsistentOutcomeWhenClaimerAndAnotherAreKilledRightAfterResponse(int other) {
    HttpResponse<String> first = sendKeyed(ranked.get(2)).join();
    assertThat(first.statusCode()).as(first.body()).isEqualTo(200);
    kill(other, 2);
    for (String instance : List.of(ranked.get(3), "linz.1")) {
      assertConsistentOutcome(sendKeyed(instance).join(), CompletableFuture.completedFuture(first));
    }
    assertThat(dispatches()).isEqualTo(1);
  }

  @ParameterizedTest
  @ValueSource(ints = {0, 1})
  void shouldReturnStoredResponseWhenClaimerAndAnotherAreKilledAfterItWasStored(int other) {
    HttpResponse<String> first = sendKeyed(ranked.get(2)).join();
    assertThat(first.statusCode()).as(first.body()).isEqualTo(200);
    Await.until(
        WAIT_TIMEOUT, "stored response", () -> isSame(sendKeyed(ranked.get(3)).join(), first));
    kill(other, 2);
    List<String> responses = new ArrayList<>();
    for (String instance : List.of(ranked.get(3), "linz.1")) {
      Await.until(
          WAIT_TIMEOUT,
          () -> "response through " + instance + ": " + responses,
          () -> {
            HttpResponse<String> duplicate = sendKeyed(instance).join();
            responses.add(duplicate.body());
            return isSame(duplicate, first);
          });
    }
    assertThat(dispatches()).isEqualTo(1);
  }

  private void kill(int one, int other) {
    cluster.process(ranked.get(one)).kill();
    cluster.process(ranked.get(other)).kill();
  }

  /**
   * Asserts that a duplicate request gets the response of the first one, or an error that does not
   * say that the request was not run.
   */
  private void assertConsistentOutcome(
      HttpResponse<String> duplicate, CompletableFuture<HttpResponse<String>> first) {
    if (duplicate.statusCode() == 200) {
      assertThat(duplicate.body()).isEqualTo(first.join().body());
    } else {
      assertThat(Http.json(duplicate.body()).path("outcome").asText())
          .as(duplicate.body())
          .isNotEqualTo("not-run");
    }
  }

  private static boolean isSame(HttpResponse<String> duplicate, HttpResponse<String> first) {
    return duplicate.statusCode() == 200 && duplicate.body().equals(first.body());
  }

  private CompletableFuture<HttpResponse<String>> sendKeyed(String instance) {
    return cluster.sendChatRequest(
        instance, "long route", 60, true, Map.of("Idempotency-Key", key));
  }

  private int dispatches() {
    return cluster.counters("engine-1").path("byKey").path(key).asInt()
        + cluster.counters("engine-2").path("byKey").path(key).asInt();
  }
}
