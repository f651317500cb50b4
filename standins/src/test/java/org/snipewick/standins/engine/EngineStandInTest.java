package org.snipewick.standins.engine;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.snipewick.standins.Client;

/** Tests the responses and the counters of the stand-in engine. */
final class EngineStandInTest {
  private static final String PATH = "/v1/chat/completions";
  private static final int MAX_EVENTS = 1_000;

  private Client engine = engine(2, 0, true);

  private static Client engine(int maxInFlight, long lagMillis, boolean fencing) {
    return new Client(
        EngineStandIn.of(
            new EngineSettings("e1", "m", 50_000, 5, maxInFlight, 640, 4_000, lagMillis, fencing)));
  }

  @AfterEach
  void stop() {
    engine.close();
  }

  private static String body(String question, int tokens, boolean stream) {
    return "{\"model\":\"m\",\"max_tokens\":%d,\"stream\":%b,\"messages\":[{\"role\":\"user\","
            .formatted(tokens, stream)
        + "\"content\":\"%s\"}]}".formatted(question);
  }

  private Client.Events stream(String id, int tokens) {
    return engine.events("POST", PATH, body("hello", tokens, true), "X-Request-Id", id);
  }

  private Client.Events resume(String id, int after) {
    return engine.events("GET", "/v1/requests/" + id + "/stream?after=" + after, "");
  }

  private static String text(List<String> events) {
    StringBuilder text = new StringBuilder();
    for (String event : events) {
      if (!event.equals("[DONE]")) {
        text.append(Client.json(event).at("/choices/0/delta/content").asText(""));
      }
    }
    return text.toString();
  }

  @Test
  void shouldReturnSameTextWhenResponseIsWholeOrStreamed() {
    String whole = engine.call("POST", PATH, body("hello", 4, false), "X-Request-Id", "r").body();
    List<String> events = stream("r", 4).read(MAX_EVENTS);

    assertThat(text(events)).isEqualTo("answer to hello for r token 1 token 2 token 3");
    assertThat(Client.json(whole).at("/choices/0/message/content").asText())
        .isEqualTo(text(events));
    assertThat(events.get(events.size() - 1)).isEqualTo("[DONE]");
    assertThat(Client.json(events.get(4)).at("/usage/completion_tokens").asInt()).isEqualTo(4);
    assertThat(engine.get("/control/truth").at("/dispatches/r").asInt()).isEqualTo(2);
  }

  @Test
  void shouldCompleteOnceWhenBrokenStreamIsResumed() {
    engine.call("PUT", "/control/faults", "{\"breakStreamAfter\":3}");
    final List<String> events = new ArrayList<>(stream("r", 8).read(3));
    engine.await("/control/truth", truth -> truth.at("/prefilledTokens/broken").asInt() > 0);
    engine.call("PUT", "/control/faults", "{}");
    events.addAll(resume("r", 3).read(MAX_EVENTS));

    assertThat(events).hasSize(10).endsWith("[DONE]");
    assertThat(text(events)).endsWith("token 6 token 7");
    JsonNode truth =
        engine.await("/control/truth", seen -> seen.at("/prefilledTokens/broken").asInt() == 0);
    assertThat(truth.at("/dispatches/r").asInt()).isEqualTo(1);
    assertThat(truth.at("/prefilledTokens/completed").asInt()).isEqualTo(3);
  }

  @ParameterizedTest
  @CsvSource({"true", "false"})
  void shouldStopWorkWhenCallerDisconnectsAndContinueWhenItResumes(boolean resumed) {
    Client.Events events = stream("r", 500);
    events.read(2);
    events.close();
    engine.await("/load", load -> load.path("running").asInt() == 0);
    assertThat(engine.get("/control/truth").at("/prefilledTokens/cancelled").asInt()).isEqualTo(3);

    if (resumed) {
      try (Client.Events rest = resume("r", 2)) {
        assertThat(rest.read(5)).hasSize(5);
      }
    } else {
      assertThat(engine.call("DELETE", "/v1/requests/r", "").statusCode()).isEqualTo(204);
      assertThat(engine.call("GET", "/v1/requests/r/stream?after=2", "").statusCode())
          .isEqualTo(404);
    }
  }

  @Test
  void shouldAbortStreamWhenRequestIsCancelled() {
    Client.Events events = stream("r", 900);
    events.read(2);
    engine.call("DELETE", "/v1/requests/r", "");

    assertThat(events.read(MAX_EVENTS)).isNotEmpty().doesNotContain("[DONE]").endsWith("broken");
  }

  @Test
  void shouldQueueWhenMoreThanMaxInFlightAreSent() {
    List<Client.Events> streams = List.of(stream("a", 60), stream("b", 60), stream("c", 60));

    JsonNode load = engine.await("/load", seen -> seen.path("queued").asInt() == 1);
    assertThat(load.path("running").asInt()).isEqualTo(2);
    streams.forEach(events -> assertThat(events.read(MAX_EVENTS)).hasSize(62).endsWith("[DONE]"));
  }

  @Test
  void shouldPrefillLessWhenPrefixIsCached() {
    String question = "x".repeat(1_024);
    engine.call("POST", PATH, body(question, 1, false));
    final int tokensAfterFirst =
        engine.get("/control/truth").at("/prefilledTokens/completed").asInt();
    engine.call("POST", PATH, body(question, 1, false));

    int tokensAfterBoth = engine.get("/control/truth").at("/prefilledTokens/completed").asInt();
    assertThat(tokensAfterFirst).isEqualTo(258);
    assertThat(tokensAfterBoth - tokensAfterFirst).isEqualTo(2);
    JsonNode events = engine.get("/cache-events?after=0");
    assertThat(events.path("events")).hasSize(4);
    assertThat(events.path("gap").asBoolean()).isFalse();
  }

  @Test
  void shouldPublishEvictionsAndGapsWhenCacheIsSmall() {
    for (int round = 0; round < 150; round++) {
      engine.call("POST", PATH, body(round + "x".repeat(1_024), 1, false));
    }

    JsonNode events = engine.get("/cache-events?after=0");
    assertThat(events.path("gap").asBoolean()).isTrue();
    assertThat(events.path("events").toString()).contains("evicted").contains("stored");
  }

  @ParameterizedTest
  @CsvSource({"true,409,false", "false,200,true"})
  void shouldRejectOldFencingNumberOnlyWhenFencingIsChecked(
      boolean checks, int status, boolean loaded) {
    engine.close();
    engine = engine(2, 0, checks);
    order(7, "load", "other");

    assertThat(order(6, "load", "late")).isEqualTo(status);

    assertThat(engine.get("/load").path("models").toString().contains("late")).isEqualTo(loaded);
    assertThat(engine.get("/control/truth").path("orders")).hasSize(2);
  }

  private int order(int fencing, String order, String argument) {
    String body =
        "{\"fencing\":%d,\"order\":\"%s\",\"argument\":\"%s\"}".formatted(fencing, order, argument);
    return engine.call("POST", "/orders", body).statusCode();
  }

  @Test
  void shouldReportOlderLoadWhenReportsLag() {
    engine.close();
    engine = engine(2, 60_000, false);
    try (Client.Events events = stream("r", 500)) {
      events.read(1);
      assertThat(engine.get("/load").path("running").asInt()).isZero();
    }
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "nonsense                                                                | 400",
        "{\"messages\":[]}                                                       | 400",
        "{\"model\":\"other\",\"messages\":[{\"role\":\"user\",\"content\":\"x\"}]} | 404",
      })
  void shouldRejectWhenRequestIsInvalid(String body, int status) {
    assertThat(engine.call("POST", PATH, body).statusCode()).isEqualTo(status);
    assertThat(engine.get("/control/truth").path("dispatches")).isEmpty();
  }

  @Test
  void shouldRecordLateDispatchWhenEndpointIsLeaving() {
    engine.call("PUT", "/control/state", "{\"state\":\"leaving\"}");
    engine.call("POST", PATH, body("hello", 1, false));

    assertThat(engine.get("/load").path("state").asText()).isEqualTo("leaving");
    assertThat(engine.get("/control/truth").path("latestAfterLeavingMillis").asInt())
        .isNotNegative();
  }
}
