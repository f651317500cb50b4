package org.snipewick.systemtests;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestInstance;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.snipewick.bench.cluster.Await;
import org.snipewick.bench.cluster.Cluster;
import org.snipewick.bench.cluster.Http;
import org.snipewick.bench.cluster.TestCatalogue;

/** Tests requests end to end, through real processes to stand-ins and back. */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class EndToEndTest {
  private Cluster cluster;

  @BeforeAll
  void start() {
    cluster =
        Cluster.start()
            .startEngine("engine-1", "wien-a")
            .startEngine("engine-2", "linz")
            .startService("orders-1", "wien-a")
            .startEntries("wien-a.1", "wien-a.2", "linz.1")
            .applyTestCatalogue("wien-a.1");
  }

  @AfterAll
  void stop() {
    cluster.close();
  }

  @ParameterizedTest
  @CsvSource({"wien-a.1", "wien-a.2", "linz.1"})
  void shouldReturnWholeResponseWhenModelRequestIsSentToAnyInstance(String instance) {
    HttpResponse<String> response =
        cluster.sendChatRequest(instance, "tank seven", 5, false, Map.of()).join();
    assertThat(response.statusCode()).as(response.body()).isEqualTo(200);
    JsonNode choice = Http.json(response.body()).path("choices").path(0);
    assertThat(choice.path("message").path("content").asText()).contains("tank seven");
    assertThat(choice.path("finish_reason").asText()).isNotEmpty();
  }

  @Test
  void shouldEndWithDoneWhenResponseIsStreamed() {
    HttpResponse<String> response =
        cluster.sendChatRequest("linz.1", "route to Graz", 5, true, Map.of()).join();
    assertThat(response.statusCode()).as(response.body()).isEqualTo(200);
    assertThat(response.headers().firstValue("Content-Type").orElse(""))
        .startsWith("text/event-stream");
    assertThat(response.body().strip()).endsWith("data: [DONE]");
    assertThat(response.body()).contains("route to Graz");
  }

  @Test
  void shouldTakeEffectOnceWhenDuplicateBookingIsSentToAnotherDomain() {
    HttpResponse<String> first = cluster.sendBooking("wien-a.1", "booking-1").join();
    HttpResponse<String> second = cluster.sendBooking("linz.1", "booking-1").join();
    assertThat(first.statusCode()).as(first.body()).isEqualTo(200);
    assertThat(second.statusCode()).as(second.body()).isEqualTo(200);
    assertThat(second.body()).isEqualTo(first.body());
    assertThat(cluster.counters("orders-1").path("effects").path("booking-1").asInt()).isEqualTo(1);
  }

  @Test
  void shouldDispatchOnceWhenDuplicateModelRequestIsSentToAnotherDomain() {
    Map<String, String> key = Map.of("Idempotency-Key", "question-1");
    HttpResponse<String> first = cluster.sendChatRequest("wien-a.2", "keyed", 4, false, key).join();
    HttpResponse<String> second = cluster.sendChatRequest("linz.1", "keyed", 4, false, key).join();
    assertThat(first.statusCode()).as(first.body()).isEqualTo(200);
    assertThat(second.body()).isEqualTo(first.body());
    int dispatches =
        cluster.counters("engine-1").path("byKey").path("question-1").asInt()
            + cluster.counters("engine-2").path("byKey").path("question-1").asInt();
    assertThat(dispatches).isEqualTo(1);
  }

  @Test
  void shouldReturnOwnResponseToEachCallerWhenManySendAtOnce() {
    List<CompletableFuture<HttpResponse<String>>> responses = new ArrayList<>();
    for (int index = 0; index < 120; index++) {
      String instance = List.of("wien-a.1", "wien-a.2", "linz.1").get(index % 3);
      responses.add(
          cluster.sendChatRequest(instance, "caller<" + index + ">", 3, index % 2 == 0, Map.of()));
    }
    for (int index = 0; index < responses.size(); index++) {
      HttpResponse<String> response = responses.get(index).join();
      assertThat(response.statusCode()).as(response.body()).isEqualTo(200);
      assertThat(response.body()).contains("caller<" + index + ">");
    }
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "POST|/v1/chat/completions|{\"model\":\"nobody\",\"messages\":[{\"role\":\"user\","
            + "\"content\":\"x\"}]}|404|not-run",
        "POST|/v1/chat/completions|{\"model\":\"planner\",\"messages\":[]}|400|not-run",
        "POST|/v1/chat/completions|{\"model\":|400|not-run",
        "POST|/services/orders/bookings|{}|400|not-run",
        "GET|/services/nothing/x||404|not-run",
        "GET|/nowhere||404|not-run"
      })
  void shouldRefuseWithProblemWhenRequestCannotBeServed(
      String method, String path, String body, int status, String outcome) {
    HttpResponse<String> response =
        cluster.sendRequest(method, "wien-a.1", path, body == null ? "" : body, Map.of()).join();
    assertThat(response.statusCode()).as(response.body()).isEqualTo(status);
    assertThat(response.headers().firstValue("Content-Type").orElse(""))
        .startsWith("application/problem+json");
    assertThat(Http.json(response.body()).path("outcome").asText()).isEqualTo(outcome);
  }

  @Test
  void shouldRefuseWhenTeamIsUnknown() {
    Map<String, String> wrong = Map.of("Authorization", "Bearer nobody");
    HttpResponse<String> response =
        cluster.sendChatRequest("wien-a.1", "x", 1, false, wrong).join();
    assertThat(response.statusCode()).isEqualTo(401);
  }

  @Test
  void shouldBeInForceOnAllInstancesWithinFourSecondsWhenCatalogueChanges() {
    long base = cluster.getAsOperator("linz.1", "/admin/catalogue").path("version").asLong();
    HttpResponse<String> response =
        cluster.editCatalogue("linz.1", base, TestCatalogue.modelEdit("night"));
    assertThat(response.statusCode()).as(response.body()).isEqualTo(200);
    for (String instance : List.of("wien-a.1", "wien-a.2", "linz.1")) {
      Await.until(
          Duration.ofSeconds(4),
          "change on " + instance,
          () -> cluster.getAsOperator(instance, "/admin/catalogue").toString().contains("night"));
    }
    assertThat(
            cluster.editCatalogue("wien-a.1", base, TestCatalogue.modelEdit("late")).statusCode())
        .isEqualTo(409);
  }
}
