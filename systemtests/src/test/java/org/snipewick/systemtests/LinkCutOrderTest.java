package org.snipewick.systemtests;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.module.paramnames.ParameterNamesModule;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.snipewick.bench.cluster.Await;
import org.snipewick.bench.cluster.Cluster;
import org.snipewick.bench.cluster.Links;
import org.snipewick.event.Event;
import org.snipewick.event.EventType;
import org.snipewick.pool.TierOrderCheck;

/**
 * Checks promises 1 to 4 of design note 0002 in the timeline of two failure domains under load,
 * while the links between them are cut or a scheduler is killed.
 */
class LinkCutOrderTest {
  private static final Duration DETECTION_TIMEOUT = Duration.ofSeconds(15);

  /** Sum of the validity of a shed tier and the message delay that DomainOrderCheck allows. */
  private static final long SHED_VALIDITY_AND_DELAY_MICROS = 750_000;

  private static final int REQUESTS_PER_WAVE = 60;
  private static final List<String> INSTANCES = List.of("wien-a.1", "wien-a.2", "linz.1", "linz.2");
  private static final Set<String> DOMAINS = Set.of("wien-a", "linz");
  private static final ObjectMapper MAPPER =
      new ObjectMapper().registerModule(new ParameterNamesModule());
  private static final Links LINKS = Links.relayed();
  private static Cluster cluster;

  private final List<Event> events = new ArrayList<>();
  private final List<DomainOrderCheck.Gap> gaps = new ArrayList<>();
  private final List<SentRequest> sent = new ArrayList<>();
  private String killedInstance = "";

  private record SentRequest(
      String instance, int tier, CompletableFuture<HttpResponse<String>> response) {

    boolean isSuccessful() {
      return response
          .handle((result, failure) -> failure == null && result.statusCode() == 200)
          .join();
    }
  }

  @BeforeAll
  static void start() {
    String[] slow = {"--max-in-flight", "3", "--decode-millis-per-token", "30"};
    cluster =
        Cluster.start(LINKS)
            .startEngine("engine-1", "wien-a", slow)
            .startEngine("engine-2", "linz", slow)
            .startEntries(INSTANCES.toArray(String[]::new))
            .applyTestCatalogue("wien-a.1");
    awaitRemoteMembers("ALIVE", INSTANCES);
  }

  @AfterAll
  static void stop() {
    cluster.close();
  }

  @ParameterizedTest
  @ValueSource(strings = {"silent", "closing", "kill", "silent, kill"})
  void shouldKeepTierOrderWhenLinksAreCutOrSchedulerIsKilledUnderLoad(String fault) {
    final long beginEpochMicros = nowEpochMicros();
    sendWaveAndAwaitHalf();
    final long faultEpochMicros = nowEpochMicros();
    if (fault.startsWith("silent")) {
      LINKS.cut("wien-a", "linz");
    } else if (fault.equals("closing")) {
      LINKS.cutAndClose("wien-a", "linz");
    }
    if (fault.endsWith("kill")) {
      killSchedulerOf("linz");
    }
    sendWaveAndAwaitHalf();
    if (!fault.equals("kill")) {
      awaitRemoteMembers("DEAD", running());
      sendWaveAndAwaitHalf();
      LINKS.heal();
      awaitRemoteMembers("ALIVE", running());
      gaps.add(new DomainOrderCheck.Gap("wien-a", "linz", faultEpochMicros, nowEpochMicros()));
      gaps.add(new DomainOrderCheck.Gap("linz", "wien-a", faultEpochMicros, nowEpochMicros()));
    }
    sendWaveAndAwaitHalf();
    sent.stream()
        .filter(request -> !request.instance().equals(killedInstance))
        .forEach(request -> request.response().join());
    running().forEach(name -> events.addAll(timeline(name)));
    events.removeIf(
        event ->
            event.type() == EventType.REQUEST_FAILED && event.epochMicros() < beginEpochMicros);
    events.sort(Comparator.comparingLong(Event::epochMicros));
    assertThat(events).extracting(Event::type).contains(EventType.REQUEST_SHED);
    assertThat(TierOrderCheck.violations(events)).isEmpty();
    assertThat(DomainOrderCheck.violations(events, DOMAINS, gaps)).isEmpty();
    assertThat(shedWhileInactive()).isEmpty();
    assertThat(successCount(1))
        .as("successful responses of tier 1")
        .isGreaterThanOrEqualTo(successCount(4));
    if (!killedInstance.isEmpty()) {
      cluster.startEntry(killedInstance);
      cluster.awaitServing(killedInstance);
    }
    awaitRemoteMembers("ALIVE", INSTANCES);
  }

  /**
   * Sends more requests than the engines can serve in time, mostly to one domain, and waits for
   * more than half of the responses.
   */
  private void sendWaveAndAwaitHalf() {
    List<SentRequest> wave = new ArrayList<>();
    for (int index = 0; index < REQUESTS_PER_WAVE; index++) {
      String instance = instanceIn(index % 10 == 0 ? "linz" : "wien-a", index);
      int tier = 1 + index % 4;
      Map<String, String> headers =
          Map.of("Snipewick-Class", Integer.toString(tier), "Snipewick-Timeout-Ms", "3000");
      String question = "load " + sent.size() + " " + index;
      wave.add(
          new SentRequest(
              instance, tier, cluster.sendChatRequest(instance, question, 20, false, headers)));
    }
    sent.addAll(wave);
    Await.until(
        DETECTION_TIMEOUT,
        "half of the responses",
        () ->
            wave.stream().filter(request -> request.response().isDone()).count()
                > REQUESTS_PER_WAVE / 2);
  }

  private String instanceIn(String domain, int index) {
    List<String> instances =
        running().stream().filter(name -> Cluster.domain(name).equals(domain)).toList();
    return instances.get(index % instances.size());
  }

  private List<String> running() {
    return INSTANCES.stream().filter(name -> !name.equals(killedInstance)).toList();
  }

  /**
   * Kills the scheduler of a domain after reading its events; a gap covers the events between the
   * read and the kill, which are lost.
   */
  private void killSchedulerOf(String domain) {
    killedInstance =
        INSTANCES.stream()
            .filter(name -> Cluster.domain(name).equals(domain))
            .filter(name -> status(name).path("pools").toString().contains("planner"))
            .findFirst()
            .orElseThrow();
    final long readEpochMicros = nowEpochMicros();
    events.addAll(timeline(killedInstance));
    cluster.process(killedInstance).kill();
    for (String entryDomain : DOMAINS) {
      gaps.add(
          new DomainOrderCheck.Gap(
              entryDomain,
              domain,
              readEpochMicros,
              nowEpochMicros() + SHED_VALIDITY_AND_DELAY_MICROS));
    }
  }

  private List<Event> shedWhileInactive() {
    Set<String> inactive = new HashSet<>();
    List<Event> found = new ArrayList<>();
    for (Event event : events) {
      if (event.type() == EventType.STANDING_LOST) {
        inactive.add(event.process());
      } else if (event.type() == EventType.STANDING_GAINED) {
        inactive.remove(event.process());
      } else if (event.type() == EventType.REQUEST_SHED && inactive.contains(event.process())) {
        found.add(event);
      }
    }
    return found;
  }

  private long successCount(int tier) {
    return sent.stream()
        .filter(request -> request.tier() == tier && request.isSuccessful())
        .count();
  }

  private static void awaitRemoteMembers(String state, List<String> instances) {
    for (String instance : instances) {
      Await.until(
          DETECTION_TIMEOUT,
          "members of the other domain are " + state + " for " + instance,
          () ->
              instances.stream()
                  .filter(other -> !Cluster.domain(other).equals(Cluster.domain(instance)))
                  .allMatch(
                      other ->
                          status(instance).path("members").path(other).asText().equals(state)));
    }
  }

  private static JsonNode status(String instance) {
    return cluster.getAsOperator(instance, "/admin/status");
  }

  private static long nowEpochMicros() {
    return TimeUnit.MILLISECONDS.toMicros(System.currentTimeMillis());
  }

  private static List<Event> timeline(String instance) {
    List<Event> read = new ArrayList<>();
    cluster
        .getAsOperator(instance, "/admin/timeline")
        .path("events")
        .forEach(event -> read.add(parse(event)));
    return read;
  }

  private static Event parse(JsonNode event) {
    try {
      return MAPPER.treeToValue(event, Event.class);
    } catch (JsonProcessingException failure) {
      throw new AssertionError(failure);
    }
  }
}
