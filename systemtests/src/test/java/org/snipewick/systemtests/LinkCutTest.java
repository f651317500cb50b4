package org.snipewick.systemtests;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.snipewick.bench.cluster.Await;
import org.snipewick.bench.cluster.Cluster;
import org.snipewick.bench.cluster.Http;
import org.snipewick.bench.cluster.Links;
import org.snipewick.bench.cluster.TestCatalogue;

/**
 * Tests two failure domains whose links to each other are cut, and one of them without the platform
 * as well.
 */
class LinkCutTest {
  private static final Duration DETECTION_TIMEOUT = Duration.ofSeconds(15);
  private static final Duration MAX_REFUSAL_TIME = Duration.ofMillis(1_500);
  private static final Duration CATALOGUE_PROPAGATION_LIMIT = Duration.ofSeconds(4);
  private static final List<String> INSTANCES = List.of("wien-a.1", "wien-a.2", "linz.1", "linz.2");
  private static final Links LINKS = Links.relayed();
  private static Cluster cluster;

  @BeforeAll
  static void start() {
    cluster =
        Cluster.start(LINKS)
            .startEngine("engine-1", "wien-a", "--decode-millis-per-token", "40")
            .startEngine("engine-2", "linz", "--decode-millis-per-token", "40")
            .startService("orders-1", "wien-a")
            .startService("orders-2", "linz")
            .startEntries(INSTANCES.toArray(String[]::new))
            .applyTestCatalogue("wien-a.1");
    awaitRemoteMembers("ALIVE");
  }

  @AfterEach
  void healLinks() {
    LINKS.heal();
    awaitRemoteMembers("ALIVE");
  }

  @AfterAll
  static void stop() {
    cluster.close();
  }

  @ParameterizedTest
  @CsvSource({"silent, wien-a", "silent, linz", "closing, wien-a", "closing, linz"})
  void shouldNeverDispatchTwiceWhenDomainsAreCutMidStream(String kind, String keyDomain) {
    String key = keyDomain + "." + kind;
    final CompletableFuture<HttpResponse<String>> first = sendKeyed("wien-a.1", key);
    Await.until(DETECTION_TIMEOUT, "dispatch", () -> dispatches(key) == 1);
    cutLinks(kind, "wien-a", "linz");
    assertConsistentOutcome(sendKeyed("linz.1", key).join(), first);
    assertThat(INSTANCES).allSatisfy(LinkCutTest::assertServes);
    awaitRemoteMembers("DEAD");
    assertConsistentOutcome(sendKeyed("linz.2", key).join(), first);
    assertThat(INSTANCES).allSatisfy(LinkCutTest::assertServes);
    LINKS.heal();
    assertConsistentOutcome(sendKeyed("linz.1", key).join(), first);
    assertThat(first.join().body()).contains("[DONE]");
    Await.until(
        DETECTION_TIMEOUT,
        "stored response",
        () -> sendKeyed("linz.1", key).join().statusCode() == 200);
    assertThat(dispatches(key)).isEqualTo(1);
  }

  @ParameterizedTest
  @CsvSource({"silent", "closing"})
  void shouldServeWithoutPlatformWhenDomainIsCutOffFromOtherDomainAndPlatform(String kind) {
    final CompletableFuture<HttpResponse<String>> stream =
        cluster.sendChatRequest("linz.1", "stream " + kind, 100, true, Map.of());
    cutLinks(kind, "linz", "wien-a");
    cutLinks(kind, "linz", Links.PLATFORM);
    awaitRemoteMembers("DEAD");
    Await.until(DETECTION_TIMEOUT, "linz without platform", () -> isWithoutPlatform("linz.1"));
    Await.until(DETECTION_TIMEOUT, "linz without platform", () -> isWithoutPlatform("linz.2"));
    long beginNanos = System.nanoTime();
    HttpResponse<String> booking = cluster.sendBooking("linz.1", "during-" + kind).join();
    assertThat(Duration.ofNanos(System.nanoTime() - beginNanos)).isLessThan(MAX_REFUSAL_TIME);
    assertThat(booking.statusCode()).as(booking.body()).isEqualTo(503);
    assertThat(booking.headers().firstValue("Retry-After")).isPresent();
    assertThat(Http.json(booking.body()).path("attempt").asText()).isEqualTo("not-run");
    assertThat(INSTANCES).allSatisfy(LinkCutTest::assertServes);
    assertThat(stream.join().body()).contains("[DONE]");
    assertThat(cluster.sendBooking("wien-a.1", "other-side-" + kind).join().statusCode())
        .isEqualTo(200);
    final long version = version("wien-a.1");
    HttpResponse<String> edit =
        cluster.editCatalogue("wien-a.1", version, TestCatalogue.modelEdit(kind));
    assertThat(edit.statusCode()).as(edit.body()).isEqualTo(200);
    assertThat(edit.body()).contains("linz.1", "linz.2");
    assertThat(version("linz.1")).isEqualTo(version);
    LINKS.heal();
    beginNanos = System.nanoTime();
    cluster.awaitCatalogueVersion("linz.1", version + 1);
    cluster.awaitCatalogueVersion("linz.2", version + 1);
    assertThat(Duration.ofNanos(System.nanoTime() - beginNanos))
        .isLessThan(CATALOGUE_PROPAGATION_LIMIT);
    Await.until(
        DETECTION_TIMEOUT,
        "bookings after the cut",
        () -> cluster.sendBooking("linz.1", "after-" + kind).join().statusCode() == 200);
    assertThat(effects("during-" + kind)).isZero();
    assertThat(effects("after-" + kind)).isEqualTo(1);
  }

  private static void cutLinks(String kind, String one, String other) {
    if (kind.equals("silent")) {
      LINKS.cut(one, other);
    } else {
      LINKS.cutAndClose(one, other);
    }
  }

  private static CompletableFuture<HttpResponse<String>> sendKeyed(String instance, String key) {
    return cluster.sendChatRequest(
        instance, "long route", 100, true, Map.of("Idempotency-Key", key));
  }

  /**
   * Asserts that a duplicate request gets the whole stored response, or an error that says that the
   * first request may have run or ran.
   */
  private static void assertConsistentOutcome(
      HttpResponse<String> duplicate, CompletableFuture<HttpResponse<String>> first) {
    if (duplicate.statusCode() == 200) {
      assertThat(duplicate.body()).isEqualTo(first.join().body());
      return;
    }
    JsonNode problem = Http.json(duplicate.body());
    assertThat(problem.path("outcome").asText()).as(duplicate.body()).isIn("unknown", "ran");
    assertThat(problem.path("attempt").asText()).as(duplicate.body()).isEqualTo("not-run");
  }

  private static void assertServes(String instance) {
    HttpResponse<String> response =
        cluster.sendChatRequest(instance, "new", 2, false, Map.of()).join();
    assertThat(response.statusCode()).as(instance + ": " + response.body()).isEqualTo(200);
  }

  private static void awaitRemoteMembers(String state) {
    for (String instance : INSTANCES) {
      Await.until(
          DETECTION_TIMEOUT,
          "members of the other domain are " + state + " for " + instance,
          () ->
              INSTANCES.stream()
                  .filter(other -> !Cluster.domain(other).equals(Cluster.domain(instance)))
                  .allMatch(
                      other ->
                          state.equals(status(instance).path("members").path(other).asText())));
    }
  }

  private static JsonNode status(String instance) {
    return cluster.getAsOperator(instance, "/admin/status");
  }

  private static boolean isWithoutPlatform(String instance) {
    return !status(instance).path("platformAvailable").asBoolean(true);
  }

  private static long version(String instance) {
    return cluster.getAsOperator(instance, "/admin/catalogue").path("version").asLong();
  }

  private static int dispatches(String key) {
    return cluster.counters("engine-1").path("byKey").path(key).asInt()
        + cluster.counters("engine-2").path("byKey").path(key).asInt();
  }

  private static int effects(String booking) {
    return cluster.counters("orders-1").path("effects").path(booking).asInt()
        + cluster.counters("orders-2").path("effects").path(booking).asInt();
  }
}
