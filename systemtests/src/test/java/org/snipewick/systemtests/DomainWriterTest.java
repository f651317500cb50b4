package org.snipewick.systemtests;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.snipewick.bench.cluster.Await;
import org.snipewick.bench.cluster.Cluster;
import org.snipewick.bench.cluster.Http;
import org.snipewick.membership.Rendezvous;

/**
 * Tests bookings whose rows are written by the writer of the failure domain, which is killed or
 * paused meanwhile.
 */
class DomainWriterTest {
  private static final Duration WAIT_TIMEOUT = Duration.ofSeconds(10);
  private static final List<String> INSTANCES =
      List.of("wien-a.1", "wien-a.2", "wien-a.3", "wien-a.4", "wien-a.5");
  private static final int BOOKINGS = 60;
  private static final int BOOKINGS_BEFORE_FAULT = 20;

  private final String writer =
      Rendezvous.first("writer/wien-a", INSTANCES, name -> name).orElseThrow();
  private final List<String> entries =
      INSTANCES.stream().filter(name -> !name.equals(writer)).toList();
  private Cluster cluster;

  @BeforeEach
  void start() {
    cluster =
        Cluster.start()
            .startService("orders-1", "wien-a", "--work-millis", "20")
            .platformSettings("allWritesPerSecond: 60, domainWriters: true")
            .startEntries(INSTANCES.toArray(String[]::new))
            .applyTestCatalogue("wien-a.1");
  }

  @AfterEach
  void stop() {
    cluster.close();
  }

  @ParameterizedTest
  @ValueSource(strings = {"kill", "pause"})
  void shouldBookOnceAndReportConsistentOutcomesWhenWriterFails(String fault) {
    Map<String, CompletableFuture<HttpResponse<String>>> responses = new LinkedHashMap<>();
    for (int index = 0; index < BOOKINGS; index++) {
      if (index == BOOKINGS_BEFORE_FAULT) {
        Await.until(WAIT_TIMEOUT, "bookings through the writer", () -> effects().size() > 0);
        injectFault(fault);
      }
      String booking = "b-" + index;
      responses.put(booking, cluster.sendBooking(entries.get(index % entries.size()), booking));
    }
    responses.values().forEach(CompletableFuture::join);
    assertThat(entries).anyMatch(this::hasDetectedSilentWriter);
    if (fault.equals("pause")) {
      cluster.process(writer).resume();
    }
    responses.forEach((booking, response) -> assertConsistentOutcome(booking, response.join()));
    responses
        .keySet()
        .forEach(booking -> assertDuplicateConsistent(booking, responses.get(booking).join()));
    assertThat(effects()).allSatisfy(effect -> assertThat(effect.asInt()).isEqualTo(1));
  }

  private void assertConsistentOutcome(String booking, HttpResponse<String> response) {
    int effects = effects().path(booking).asInt();
    if (response.statusCode() == 200) {
      assertThat(effects).as(booking).isEqualTo(1);
    } else if (Http.json(response.body()).path("outcome").asText().equals("not-run")) {
      assertThat(effects).as(booking).isZero();
    }
  }

  private void assertDuplicateConsistent(String booking, HttpResponse<String> first) {
    HttpResponse<String> duplicate = cluster.sendBooking(entries.get(0), booking).join();
    if (first.statusCode() == 200) {
      assertThat(duplicate.body()).as(booking).isEqualTo(first.body());
    }
    assertConsistentOutcome(booking, duplicate);
  }

  private void injectFault(String fault) {
    if (fault.equals("kill")) {
      cluster.process(writer).kill();
    } else {
      cluster.process(writer).pause();
    }
  }

  private boolean hasDetectedSilentWriter(String instance) {
    return cluster.getAsOperator(instance, "/admin/timeline").toString().contains("WRITER_SILENT");
  }

  private JsonNode effects() {
    return cluster.counters("orders-1").path("effects");
  }
}
