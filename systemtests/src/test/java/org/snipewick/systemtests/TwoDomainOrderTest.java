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
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.snipewick.bench.cluster.Cluster;
import org.snipewick.event.Event;
import org.snipewick.event.EventType;
import org.snipewick.pool.TierOrderCheck;

/**
 * Checks the promises of design note 0002 in the timeline of two failure domains, one of which is
 * overloaded.
 */
class TwoDomainOrderTest {
  private static final List<String> INSTANCES = List.of("wien-a.1", "wien-a.2", "linz.1");
  private static final ObjectMapper MAPPER =
      new ObjectMapper().registerModule(new ParameterNamesModule());

  @Test
  void shouldOfferShedRequestsToOtherDomainInTierOrderWhenOneIsOverloaded() {
    String[] slow = {"--max-in-flight", "3", "--decode-millis-per-token", "30"};
    try (Cluster cluster =
        Cluster.start()
            .startEngine("engine-1", "wien-a", slow)
            .startEngine("engine-2", "linz", slow)
            .startEntries(INSTANCES.toArray(String[]::new))
            .applyTestCatalogue("wien-a.1")) {
      List<CompletableFuture<HttpResponse<String>>> responses = new ArrayList<>();
      for (int index = 0; index < 200; index++) {
        String instance = index % 20 == 0 ? "linz.1" : INSTANCES.get(index % 2);
        responses.add(
            cluster.sendChatRequest(
                instance,
                "load " + index,
                20,
                false,
                Map.of(
                    "Snipewick-Class",
                    Integer.toString(1 + index % 4),
                    "Snipewick-Timeout-Ms",
                    "5000")));
      }
      responses.forEach(CompletableFuture::join);
      List<Event> events = events(cluster);
      assertThat(events).extracting(Event::type).contains(EventType.REQUEST_SHED);
      assertThat(events)
          .as("requests of wien-a's callers that were offered to linz")
          .anyMatch(
              event ->
                  event.type() == EventType.REQUEST_QUEUED
                      && event.process().equals("linz.1")
                      && event.subject().startsWith("wien-a."));
      assertThat(TierOrderCheck.violations(events)).isEmpty();
      assertThat(DomainOrderCheck.violations(events, Set.of("wien-a", "linz"))).isEmpty();
    }
  }

  private static List<Event> events(Cluster cluster) {
    List<Event> events = new ArrayList<>();
    for (String instance : INSTANCES) {
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
