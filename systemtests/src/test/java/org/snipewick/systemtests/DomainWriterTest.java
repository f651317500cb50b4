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

/** The writer of a failure domain dies or is paused while other instances book through it. */
class DomainWriterTest {
  private static final Duration REACTION = Duration.ofSeconds(10);
  private static final List<String> NAMES =
      List.of("wien-a.1", "wien-a.2", "wien-a.3", "wien-a.4", "wien-a.5");
  private static final int BOOKINGS = 60;
  private static final int BEFORE_FAULT = 20;

  private final String writer =
      Rendezvous.first("writer/wien-a", NAMES, name -> name).orElseThrow();
  private final List<String> entries = NAMES.stream().filter(name -> !name.equals(writer)).toList();
  private Cluster cluster;

  @BeforeEach
  void start() {
    cluster =
        Cluster.start()
            .service("orders-1", "wien-a", "--work-millis", "20")
            .platformSettings("allWritesPerSecond: 60, domainWriters: true")
            .entries(NAMES.toArray(String[]::new))
            .catalogue("wien-a.1");
  }

  @AfterEach
  void stop() {
    cluster.close();
  }

  @ParameterizedTest
  @ValueSource(strings = {"kill", "pause"})
  void shouldBookOnceAndTellTheTruthWhenWriterFails(String fault) {
    Map<String, CompletableFuture<HttpResponse<String>>> answers = new LinkedHashMap<>();
    for (int number = 0; number < BOOKINGS; number++) {
      if (number == BEFORE_FAULT) {
        Await.until(REACTION, "bookings through the writer", () -> effects().size() > 0);
        strike(fault);
      }
      String booking = "b-" + number;
      answers.put(booking, cluster.book(entries.get(number % entries.size()), booking));
    }
    answers.values().forEach(CompletableFuture::join);
    assertThat(entries).anyMatch(this::foundWriterSilent);
    if (fault.equals("pause")) {
      cluster.process(writer).resume();
    }
    answers.forEach((booking, answer) -> assertTruthful(booking, answer.join()));
    answers.keySet().forEach(booking -> assertRepeatTruthful(booking, answers.get(booking).join()));
    assertThat(effects()).allSatisfy(effect -> assertThat(effect.asInt()).isEqualTo(1));
  }

  private void assertTruthful(String booking, HttpResponse<String> answer) {
    int effects = effects().path(booking).asInt();
    if (answer.statusCode() == 200) {
      assertThat(effects).as(booking).isEqualTo(1);
    } else if (Http.json(answer.body()).path("outcome").asText().equals("not-run")) {
      assertThat(effects).as(booking).isZero();
    }
  }

  private void assertRepeatTruthful(String booking, HttpResponse<String> first) {
    HttpResponse<String> repeat = cluster.book(entries.get(0), booking).join();
    if (first.statusCode() == 200) {
      assertThat(repeat.body()).as(booking).isEqualTo(first.body());
    }
    assertTruthful(booking, repeat);
  }

  private void strike(String fault) {
    if (fault.equals("kill")) {
      cluster.process(writer).kill();
    } else {
      cluster.process(writer).pause();
    }
  }

  private boolean foundWriterSilent(String instance) {
    return cluster.admin(instance, "/admin/timeline").toString().contains("WRITER_SILENT");
  }

  private JsonNode effects() {
    return cluster.truth("orders-1").path("effects");
  }
}
