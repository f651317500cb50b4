package org.snipewick.systemtests;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.snipewick.bench.cluster.Await;
import org.snipewick.bench.cluster.Cluster;
import org.snipewick.bench.cluster.Http;
import org.snipewick.bench.cluster.TestCatalogue;

/** Tests instances while the platform is down, hangs, or loses the responses to writes. */
class PlatformFaultTest {
  private static final Duration RECOVERY_TIMEOUT = Duration.ofSeconds(15);
  private Cluster cluster;

  @BeforeEach
  void start() {
    cluster =
        Cluster.start()
            .startEngine("engine-1", "wien-a")
            .startService("orders-1", "wien-a")
            .startEntries("wien-a.1", "wien-a.2", "linz.1")
            .applyTestCatalogue("wien-a.1");
  }

  @AfterEach
  void stop() {
    cluster.close();
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {"{\"outage\":true}", "{\"hang\":true}"})
  void shouldServeRequestsWithoutWritesAndRefuseOthersAtOnceWhenPlatformIsUnavailable(
      String faults) {
    assertThat(cluster.sendBooking("wien-a.1", "before").join().statusCode()).isEqualTo(200);
    cluster.setFaults("platform", faults);
    for (int index = 0; index < 5; index++) {
      Map<String, String> key = Map.of("Idempotency-Key", "away-" + index);
      HttpResponse<String> keyed =
          cluster.sendChatRequest("wien-a.2", "keyed", 2, false, key).join();
      assertThat(keyed.statusCode()).as(keyed.body()).isEqualTo(200);
      HttpResponse<String> plain =
          cluster.sendChatRequest("linz.1", "plain", 2, false, Map.of()).join();
      assertThat(plain.statusCode()).as(plain.body()).isEqualTo(200);
    }
    HttpResponse<String> booking = cluster.sendBooking("wien-a.1", "during").join();
    assertThat(booking.statusCode()).as(booking.body()).isEqualTo(503);
    assertThat(booking.headers().firstValue("Retry-After")).isPresent();
    assertThat(Http.json(booking.body()).path("attempt").asText()).isEqualTo("not-run");
    long beginNanos = System.nanoTime();
    assertThat(cluster.sendBooking("wien-a.1", "during-2").join().statusCode()).isEqualTo(503);
    assertThat(Duration.ofNanos(System.nanoTime() - beginNanos))
        .isLessThan(Duration.ofMillis(1500));
    cluster.setFaults("platform", "{}");
    Await.until(
        RECOVERY_TIMEOUT,
        "bookings after the outage",
        () -> cluster.sendBooking("linz.1", "after").join().statusCode() == 200);
    assertThat(effects("during")).isEqualTo(0);
    assertThat(effects("after")).isEqualTo(1);
  }

  @Test
  void shouldBookAtMostOnceAndReportConsistentOutcomeWhenWriteResponsesAreLost() {
    for (int index = 0; index < 6; index++) {
      String booking = "lost-" + index;
      cluster.setFaults("platform", "{\"loseAnswers\":true}");
      HttpResponse<String> first = cluster.sendBooking("wien-a.1", booking).join();
      cluster.setFaults("platform", "{}");
      boolean notRun = Http.json(first.body()).path("attempt").asText().equals("not-run");
      if (first.statusCode() != 200 && notRun) {
        assertThat(effects(booking)).as(first.body()).isEqualTo(0);
      }
      cluster.sendBooking("wien-a.2", booking).join();
      cluster.sendBooking("linz.1", booking).join();
      assertThat(effects(booking)).as(booking).isLessThanOrEqualTo(1);
      if (first.statusCode() == 200) {
        assertThat(effects(booking)).as(booking).isEqualTo(1);
      }
    }
  }

  @Test
  void shouldLoadCatalogueFromPeersWhenStartedWhilePlatformIsUnavailable() {
    cluster.process("wien-a.2").kill();
    cluster.setFaults("platform", "{\"outage\":true}");
    cluster.startEntry("wien-a.2");
    cluster.awaitServing("wien-a.2");
    cluster.awaitCatalogueVersion("wien-a.2", 1);
    List<String> responses = new ArrayList<>();
    Await.until(
        RECOVERY_TIMEOUT,
        () -> "service through the restarted instance: " + responses + statuses(),
        () -> {
          HttpResponse<String> response =
              cluster.sendChatRequest("wien-a.2", "again", 2, false, Map.of()).join();
          responses.add(response.body());
          return response.statusCode() == 200;
        });
  }

  @Test
  void shouldAcceptOneEditWhenTwoOperatorsEditAtOnce() {
    for (long base = 1; base <= 5; base++) {
      var one = CompletableFuture.supplyAsync(edit("wien-a.1", base, "one"));
      var two = CompletableFuture.supplyAsync(edit("linz.1", base, "two"));
      assertThat(List.of(one.join(), two.join())).containsExactlyInAnyOrder(200, 409);
    }
  }

  private Supplier<Integer> edit(String instance, long base, String owner) {
    return () -> cluster.editCatalogue(instance, base, TestCatalogue.modelEdit(owner)).statusCode();
  }

  private String statuses() {
    return Stream.of("wien-a.1", "wien-a.2", "linz.1")
        .map(name -> name + ": " + cluster.getAsOperator(name, "/admin/status"))
        .collect(Collectors.joining("\n", "\n", ""));
  }

  private int effects(String booking) {
    return cluster.counters("orders-1").path("effects").path(booking).asInt();
  }
}
