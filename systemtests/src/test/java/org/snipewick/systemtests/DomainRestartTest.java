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
 * Tests duplicate requests after all instances of a failure domain were killed at once after a
 * dispatch and started again.
 */
class DomainRestartTest {
  private static final Duration WAIT_TIMEOUT = Duration.ofSeconds(20);
  private static final List<String> DOMAIN_INSTANCES = List.of("wien-a.1", "wien-a.2");
  private static final String KEY = "wien-a.question";
  private Cluster cluster;

  @BeforeEach
  void start() {
    cluster =
        Cluster.start()
            .startEngine("engine-1", "wien-a", "--decode-millis-per-token", "40")
            .startEngine("engine-2", "linz", "--decode-millis-per-token", "40")
            .startEntries("wien-a.1", "wien-a.2", "linz.1")
            .applyTestCatalogue("wien-a.1");
  }

  @AfterEach
  void stop() {
    cluster.close();
  }

  @ParameterizedTest
  @CsvSource({"wien-a.1, {}", "wien-a.1, {\"outage\":true}", "linz.1, {}"})
  void shouldNeverDispatchTwiceWhenWholeDomainRestarts(String entry, String platformFaults) {
    Map<String, String> key = Map.of("Idempotency-Key", KEY);
    final CompletableFuture<HttpResponse<String>> first =
        cluster.sendChatRequest(entry, "long route", 60, true, key);
    Await.until(WAIT_TIMEOUT, "dispatch", () -> dispatches() == 1);
    DOMAIN_INSTANCES.forEach(name -> cluster.process(name).kill());
    cluster.setFaults("platform", platformFaults);
    DOMAIN_INSTANCES.forEach(cluster::startEntry);
    DOMAIN_INSTANCES.forEach(cluster::awaitServing);
    DOMAIN_INSTANCES.forEach(name -> cluster.awaitCatalogueVersion(name, 1));
    for (String instance : List.of("wien-a.1", "linz.1", "wien-a.2", "wien-a.1")) {
      assertConsistentOutcome(
          cluster.sendChatRequest(instance, "long route", 60, true, key).join(), first);
    }
    first.exceptionally(failure -> null).join();
    assertThat(dispatches()).isEqualTo(1);
  }

  /**
   * Asserts that a duplicate request gets the response of the first one, or an error that says that
   * the first request may have run or ran.
   */
  private static void assertConsistentOutcome(
      HttpResponse<String> duplicate, CompletableFuture<HttpResponse<String>> first) {
    if (duplicate.statusCode() == 200) {
      assertThat(duplicate.body()).isEqualTo(first.join().body());
    } else {
      assertThat(Http.json(duplicate.body()).path("outcome").asText())
          .as(duplicate.body())
          .isIn("unknown", "ran");
    }
  }

  private int dispatches() {
    return cluster.counters("engine-1").path("byKey").path(KEY).asInt()
        + cluster.counters("engine-2").path("byKey").path(KEY).asInt();
  }
}
