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
 * Two domains under load lose each other or a scheduler; programs check promises 1 to 4 of 0002.
 */
class LinkCutOrderTest {
  private static final Duration NOTICED = Duration.ofSeconds(15);
  private static final long REFUSAL_MEMORY_MICROS = 750_000;
  private static final int WAVE = 60;
  private static final List<String> INSTANCES = List.of("wien-a.1", "wien-a.2", "linz.1", "linz.2");
  private static final Set<String> DOMAINS = Set.of("wien-a", "linz");
  private static final ObjectMapper MAPPER =
      new ObjectMapper().registerModule(new ParameterNamesModule());
  private static final Links LINKS = Links.relayed();
  private static Cluster cluster;

  private final List<Event> events = new ArrayList<>();
  private final List<DomainOrderCheck.Gap> gaps = new ArrayList<>();
  private final List<Sent> sent = new ArrayList<>();
  private String killed = "";

  private record Sent(String instance, int tier, CompletableFuture<HttpResponse<String>> answer) {

    boolean isAnswered() {
      return answer.handle((got, broken) -> broken == null && got.statusCode() == 200).join();
    }
  }

  @BeforeAll
  static void start() {
    String[] slow = {"--max-in-flight", "3", "--decode-millis-per-token", "30"};
    cluster =
        Cluster.start(LINKS)
            .engine("engine-1", "wien-a", slow)
            .engine("engine-2", "linz", slow)
            .entries(INSTANCES.toArray(String[]::new))
            .catalogue("wien-a.1");
    awaitOthers("ALIVE", INSTANCES);
  }

  @AfterAll
  static void stop() {
    cluster.close();
  }

  @ParameterizedTest
  @ValueSource(strings = {"silent", "closing", "kill", "silent, kill"})
  void shouldKeepOrderOfTiersWhenDomainsOrSchedulersAreLostUnderLoad(String fault) {
    final long begin = nowMicros();
    loadUntilAnswered();
    final long struck = nowMicros();
    if (fault.startsWith("silent")) {
      LINKS.cut("wien-a", "linz");
    } else if (fault.equals("closing")) {
      LINKS.sever("wien-a", "linz");
    }
    if (fault.endsWith("kill")) {
      killSchedulerOf("linz");
    }
    loadUntilAnswered();
    if (!fault.equals("kill")) {
      awaitOthers("DEAD", running());
      loadUntilAnswered();
      LINKS.heal();
      awaitOthers("ALIVE", running());
      gaps.add(new DomainOrderCheck.Gap("wien-a", "linz", struck, nowMicros()));
      gaps.add(new DomainOrderCheck.Gap("linz", "wien-a", struck, nowMicros()));
    }
    loadUntilAnswered();
    sent.stream()
        .filter(each -> !each.instance().equals(killed))
        .forEach(each -> each.answer().join());
    running().forEach(name -> events.addAll(timeline(name)));
    events.removeIf(
        event -> event.type() == EventType.REQUEST_FAILED && event.epochMicros() < begin);
    events.sort(Comparator.comparingLong(Event::epochMicros));
    assertThat(events).extracting(Event::type).contains(EventType.REQUEST_SHED);
    assertThat(TierOrderCheck.violations(events)).isEmpty();
    assertThat(DomainOrderCheck.violations(events, DOMAINS, gaps)).isEmpty();
    assertThat(shedWithoutStanding()).isEmpty();
    assertThat(answered(1)).as("answers of tier 1").isGreaterThanOrEqualTo(answered(4));
    if (!killed.isEmpty()) {
      cluster.launch(killed);
      cluster.awaitServing(killed);
    }
    awaitOthers("ALIVE", INSTANCES);
  }

  /** Sends more than the engines can do in time, mostly to one domain, and awaits a part of it. */
  private void loadUntilAnswered() {
    List<Sent> wave = new ArrayList<>();
    for (int index = 0; index < WAVE; index++) {
      String instance = instanceIn(index % 10 == 0 ? "linz" : "wien-a", index);
      int tier = 1 + index % 4;
      Map<String, String> headers =
          Map.of("Snipewick-Class", Integer.toString(tier), "Snipewick-Timeout-Ms", "3000");
      String question = "load " + sent.size() + " " + index;
      wave.add(new Sent(instance, tier, cluster.model(instance, question, 20, false, headers)));
    }
    sent.addAll(wave);
    Await.until(
        NOTICED,
        "half of the answers",
        () -> wave.stream().filter(each -> each.answer().isDone()).count() > WAVE / 2);
  }

  private String instanceIn(String domain, int index) {
    List<String> instances =
        running().stream().filter(name -> Cluster.domain(name).equals(domain)).toList();
    return instances.get(index % instances.size());
  }

  private List<String> running() {
    return INSTANCES.stream().filter(name -> !name.equals(killed)).toList();
  }

  /**
   * Keeps the records of the scheduler; what it records between the reading and its end is lost.
   */
  private void killSchedulerOf(String domain) {
    killed =
        INSTANCES.stream()
            .filter(name -> Cluster.domain(name).equals(domain))
            .filter(name -> status(name).path("pools").toString().contains("planner"))
            .findFirst()
            .orElseThrow();
    final long read = nowMicros();
    events.addAll(timeline(killed));
    cluster.process(killed).kill();
    for (String entryDomain : DOMAINS) {
      gaps.add(
          new DomainOrderCheck.Gap(entryDomain, domain, read, nowMicros() + REFUSAL_MEMORY_MICROS));
    }
  }

  private List<Event> shedWithoutStanding() {
    Set<String> withoutStanding = new HashSet<>();
    List<Event> found = new ArrayList<>();
    for (Event event : events) {
      if (event.type() == EventType.STANDING_LOST) {
        withoutStanding.add(event.process());
      } else if (event.type() == EventType.STANDING_GAINED) {
        withoutStanding.remove(event.process());
      } else if (event.type() == EventType.REQUEST_SHED
          && withoutStanding.contains(event.process())) {
        found.add(event);
      }
    }
    return found;
  }

  private long answered(int tier) {
    return sent.stream().filter(each -> each.tier() == tier && each.isAnswered()).count();
  }

  private static void awaitOthers(String state, List<String> instances) {
    for (String instance : instances) {
      Await.until(
          NOTICED,
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
    return cluster.admin(instance, "/admin/status");
  }

  private static long nowMicros() {
    return TimeUnit.MILLISECONDS.toMicros(System.currentTimeMillis());
  }

  private static List<Event> timeline(String instance) {
    List<Event> read = new ArrayList<>();
    cluster
        .admin(instance, "/admin/timeline")
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
