package org.snipewick.systemtests;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.module.paramnames.ParameterNamesModule;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.snipewick.bench.cluster.Cluster;
import org.snipewick.event.Event;
import org.snipewick.pool.TierOrderCheck;

/** Checks the order in which tiers are shed when load over several instances exceeds capacity. */
class TierOrderTest {
  private static final List<String> INSTANCES = List.of("wien-a.1", "wien-a.2", "wien-a.3");
  private static final ObjectMapper MAPPER =
      new ObjectMapper().registerModule(new ParameterNamesModule());

  private Cluster cluster;

  @BeforeEach
  void start() {
    String[] slow = {"--max-in-flight", "3", "--decode-millis-per-token", "30"};
    cluster =
        Cluster.start()
            .startEngine("engine-1", "wien-a", slow)
            .startEngine("engine-2", "wien-a", slow)
            .startEntries(INSTANCES.toArray(String[]::new))
            .applyTestCatalogue("wien-a.1");
  }

  @AfterEach
  void stop() {
    cluster.close();
  }

  @ParameterizedTest
  @ValueSource(strings = {"none", "kill", "pause"})
  void shouldShedLowerTierFirstWhenLoadExceedsCapacity(String fault) {
    List<CompletableFuture<HttpResponse<String>>> high = new ArrayList<>();
    List<CompletableFuture<HttpResponse<String>>> low = new ArrayList<>();
    for (int index = 0; index < 160; index++) {
      boolean isHigh = index % 8 == 0;
      CompletableFuture<HttpResponse<String>> response =
          cluster.sendChatRequest(
              INSTANCES.get(index % 2),
              "load " + index,
              20,
              false,
              Map.of(
                  "Snipewick-Class", isHigh ? "1" : "4",
                  "Snipewick-Timeout-Ms", isHigh ? "15000" : "4000"));
      (isHigh ? high : low).add(response);
    }
    injectFault(fault);
    high.forEach(CompletableFuture::join);
    long shedLow = low.stream().filter(response -> response.join().statusCode() != 200).count();
    if (fault.equals("pause")) {
      cluster.process("wien-a.3").resume();
    }
    assertThat(shedLow).isPositive();
    assertThat(high)
        .allSatisfy(
            response ->
                assertThat(response.join().statusCode()).as(response.join().body()).isEqualTo(200));
    assertThat(TierOrderCheck.violations(events(fault))).isEmpty();
  }

  private void injectFault(String fault) {
    if (fault.equals("kill")) {
      cluster.process("wien-a.3").kill();
    } else if (fault.equals("pause")) {
      cluster.process("wien-a.3").pause();
    }
  }

  private List<Event> events(String fault) {
    List<Event> events = new ArrayList<>();
    for (String instance : INSTANCES) {
      if (fault.equals("kill") && instance.equals("wien-a.3")) {
        continue;
      }
      cluster
          .getAsOperator(instance, "/admin/timeline")
          .path("events")
          .forEach(event -> events.add(parse(event)));
    }
    events.sort(Comparator.comparingLong(Event::epochMicros));
    return events;
  }

  private static Event parse(JsonNode event) {
    try {
      return MAPPER.treeToValue(event, Event.class);
    } catch (JsonProcessingException failure) {
      throw new AssertionError(failure);
    }
  }
}
