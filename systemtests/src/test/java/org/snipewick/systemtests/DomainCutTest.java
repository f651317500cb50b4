package org.snipewick.systemtests;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.snipewick.bench.cluster.Await;
import org.snipewick.bench.cluster.Cluster;
import org.snipewick.bench.cluster.Http;
import org.snipewick.bench.cluster.TestCatalogue;
import org.snipewick.entry.EntryProcess;
import org.snipewick.event.EventType;
import org.snipewick.platform.PlatformStoreAdapter;
import org.snipewick.settings.SettingsReader;
import org.snipewick.settings.SettingsResult;

/** Tests failure domains that are cut off from each other, with and without the platform. */
class DomainCutTest {
  private static final Duration DETECTION_TIMEOUT = Duration.ofSeconds(20);
  private static final List<String> INSTANCES = List.of("wien-a.1", "wien-a.2", "linz.1", "linz.2");

  private final AtomicBoolean cut = new AtomicBoolean();
  private final Map<String, EntryProcess> running = new LinkedHashMap<>();
  private Cluster cluster;

  @BeforeEach
  void start() {
    cluster =
        Cluster.start()
            .startEngine("engine-1", "wien-a")
            .startEngine("engine-2", "linz")
            .startService("orders-1", "wien-a")
            .registerEntries(INSTANCES.toArray(String[]::new));
    INSTANCES.forEach(this::launch);
    INSTANCES.forEach(cluster::awaitServing);
    cluster.applyTestCatalogue("wien-a.1");
  }

  private void launch(String name) {
    SettingsResult settings = SettingsReader.of().read(cluster.settingsFile(name));
    running.put(
        name,
        EntryProcess.start(
            ((SettingsResult.Valid) settings).settings(),
            PlatformStoreAdapter.of(),
            network -> new CuttableNetwork(network, Cluster.domain(name), cut)));
    cluster
        .processes()
        .addInstanceInThisJvm(
            name, () -> cluster.getAsOperator(name, "/admin/timeline").toString());
  }

  private void restart(String name) {
    running.get(name).beginStop();
    running.get(name).awaitStopped();
    launch(name);
    cluster.awaitServing(name);
  }

  @AfterEach
  void stop() {
    running.values().forEach(EntryProcess::beginStop);
    running.values().forEach(EntryProcess::awaitStopped);
    cluster.close();
  }

  @ParameterizedTest
  @ValueSource(strings = {"{}", "{\"outage\":true}"})
  void shouldServeFromLocalEndpointsWhenDomainIsCutOff(String platformFaults) {
    cutAndAwaitDetection();
    cluster.setFaults("platform", platformFaults);
    for (String instance : INSTANCES) {
      HttpResponse<String> plain =
          cluster.sendChatRequest(instance, "cut", 2, false, Map.of()).join();
      assertThat(plain.statusCode()).as(plain.body()).isEqualTo(200);
      String localKey = Cluster.domain(instance) + "." + instance + platformFaults.length();
      HttpResponse<String> keyed =
          cluster
              .sendChatRequest(instance, "own", 2, false, Map.of("Idempotency-Key", localKey))
              .join();
      assertThat(keyed.statusCode()).as(keyed.body()).isEqualTo(200);
    }
  }

  @Test
  void shouldNeverDispatchTwiceWhenDuplicateIsSentToDomainThatIsCutOff() {
    Map<String, String> key = Map.of("Idempotency-Key", "wien-a.question");
    HttpResponse<String> first = cluster.sendChatRequest("wien-a.1", "once", 2, false, key).join();
    assertThat(first.statusCode()).as(first.body()).isEqualTo(200);
    cutAndAwaitDetection();
    HttpResponse<String> duplicate =
        cluster.sendChatRequest("linz.1", "once", 2, false, key).join();
    assertThat(duplicate.statusCode()).as(duplicate.body()).isEqualTo(503);
    JsonNode problem = Http.json(duplicate.body());
    assertThat(problem.path("outcome").asText()).isEqualTo("unknown");
    assertThat(problem.path("attempt").asText()).isEqualTo("not-run");
    assertThat(duplicate.headers().firstValue("Retry-After")).isPresent();
    cut.set(false);
    Await.until(
        DETECTION_TIMEOUT,
        "stored response after the cut",
        () ->
            cluster
                .sendChatRequest("linz.1", "once", 2, false, key)
                .join()
                .body()
                .equals(first.body()));
    int dispatches =
        cluster.counters("engine-1").path("byKey").path("wien-a.question").asInt()
            + cluster.counters("engine-2").path("byKey").path("wien-a.question").asInt();
    assertThat(dispatches).isEqualTo(1);
  }

  @Test
  void shouldCatchUpWhenCatalogueChangedDuringCutAndOutage() {
    cutAndAwaitDetection();
    assertThat(cluster.editCatalogue("wien-a.1", 1, TestCatalogue.modelEdit("night")).statusCode())
        .isEqualTo(200);
    INSTANCES.forEach(name -> cluster.awaitCatalogueVersion(name, 2));
    cluster.setFaults("platform", "{\"outage\":true}");
    assertThat(cluster.editCatalogue("linz.1", 2, TestCatalogue.modelEdit("lost")).statusCode())
        .isEqualTo(503);
    cluster.setFaults("platform", "{}");
    Await.until(
        DETECTION_TIMEOUT,
        "an edit after the outage",
        () ->
            cluster.editCatalogue("linz.1", 2, TestCatalogue.modelEdit("late")).statusCode()
                == 200);
    cut.set(false);
    INSTANCES.forEach(name -> cluster.awaitCatalogueVersion(name, 3));
    for (String name : INSTANCES) {
      assertThat(cluster.getAsOperator(name, "/admin/catalogue").toString()).contains("late");
    }
  }

  @Test
  void shouldNeverRevertCatalogueWhenRestartedWithStaleReadsDuringCut() {
    edit(1, "second");
    edit(2, "third");
    INSTANCES.forEach(name -> cluster.awaitCatalogueVersion(name, 3));
    cutAndAwaitDetection();
    cluster.setFaults("platform", "{\"staleReads\":true,\"staleMillis\":60000}");
    restart("linz.1");
    cluster.awaitCatalogueVersion("linz.1", 3);
    edit(3, "fourth");
    restart("wien-a.2");
    cluster.awaitCatalogueVersion("wien-a.1", 4);
    cluster.awaitCatalogueVersion("wien-a.2", 4);
    cluster.setFaults("platform", "{}");
    cut.set(false);
    for (String name : INSTANCES) {
      cluster.awaitCatalogueVersion(name, 4);
      assertThat(cluster.getAsOperator(name, "/admin/catalogue").toString()).contains("fourth");
      assertThat(versionsInForce(name))
          .isSortedAccordingTo(Comparator.naturalOrder())
          .doesNotHaveDuplicates()
          .endsWith(4L);
    }
  }

  private void edit(long base, String owner) {
    HttpResponse<String> response =
        cluster.editCatalogue("wien-a.1", base, TestCatalogue.modelEdit(owner));
    assertThat(response.statusCode()).as(response.body()).isEqualTo(200);
  }

  /** Returns the versions that an instance has put into force since its start, oldest first. */
  private List<Long> versionsInForce(String instance) {
    List<Long> versions = new ArrayList<>();
    cluster
        .getAsOperator(instance, "/admin/timeline?subject=catalogue")
        .path("events")
        .forEach(
            event -> {
              if (event.path("type").asText().equals(EventType.CATALOGUE_IN_FORCE.name())) {
                versions.add(event.path("details").path("version").asLong());
              }
            });
    return versions;
  }

  private void cutAndAwaitDetection() {
    cut.set(true);
    Await.until(
        DETECTION_TIMEOUT,
        "linz.1 considers wien-a.1 dead",
        () ->
            cluster
                .getAsOperator("linz.1", "/admin/status")
                .toString()
                .contains("\"wien-a.1\":\"DEAD\""));
    Await.until(
        DETECTION_TIMEOUT,
        "wien-a.1 considers linz.1 dead",
        () ->
            cluster
                .getAsOperator("wien-a.1", "/admin/status")
                .toString()
                .contains("\"linz.1\":\"DEAD\""));
  }
}
