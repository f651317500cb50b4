package org.snipewick.systemtests;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.snipewick.bench.cluster.Await;
import org.snipewick.bench.cluster.Cluster;
import org.snipewick.bench.cluster.Http;

/** Tests that the logs alone show the cause of a failed request, given its identifier. */
class ExplainTest {
  private static final Duration WAIT_TIMEOUT = Duration.ofSeconds(20);
  private Cluster cluster;

  @BeforeEach
  void start() {
    cluster =
        Cluster.start()
            .startEngine("engine-1", "wien-a", "--decode-millis-per-token", "40")
            .startService("orders-1", "wien-a", "--work-millis", "1500")
            .startEntries("wien-a.1", "wien-a.2")
            .applyTestCatalogue("wien-a.1");
  }

  @AfterEach
  void stop() {
    cluster.close();
  }

  @Test
  void shouldExplainSchedulerDecisionAndItsInputsWhenNoEndpointIsLeft() {
    assertThat(cluster.sendChatRequest("wien-a.1", "route", 2, false, Map.of()).join().statusCode())
        .isEqualTo(200);
    cluster.process("engine-1").kill();
    Await.until(
        WAIT_TIMEOUT,
        "engine-1 in state UNREACHABLE",
        () -> cluster.processes().logs().contains("\"state\":\"UNREACHABLE\""));
    HttpResponse<String> refused =
        cluster.sendChatRequest("wien-a.1", "route", 2, false, Map.of()).join();
    assertThat(refused.statusCode()).as(refused.body()).isEqualTo(503);
    assertExplained(
        refused,
        "decision=refuse",
        "reason=NO_ENDPOINT",
        "liveEndpoints=0",
        "state=UNREACHABLE",
        "outcome=not-run");
    assertThat(cluster.metrics("wien-a.1"))
        .contains("requests_tier2_failed_no_endpoint 1.0")
        .contains("requests_tier2_latency{quantile=\"0.99\",}")
        .contains("log_lines_unread 0.0");
  }

  @Test
  void shouldExplainPlatformOutageWhenBookingIsRefused() {
    cluster.setFaults("platform", "{\"outage\":true}");
    HttpResponse<String> refused = cluster.sendBooking("wien-a.1", "booking-1").join();
    assertThat(refused.statusCode()).as(refused.body()).isEqualTo(503);
    assertExplained(
        refused, "platform unavailable", "failureName=PLATFORM_UNAVAILABLE", "dispatched=false");
  }

  @Test
  void shouldExplainEndpointWhenItFailsDuringResponse() {
    Map<String, String> key = Map.of("Idempotency-Key", "question-1");
    final CompletableFuture<HttpResponse<String>> call =
        cluster.sendChatRequest("wien-a.1", "long route", 400, false, key);
    Await.until(
        WAIT_TIMEOUT,
        () -> "dispatch; " + Http.progress(call),
        () -> cluster.counters("engine-1").path("byKey").path("question-1").asInt() == 1);
    cluster.process("engine-1").kill();
    HttpResponse<String> broken = call.join();
    assertThat(broken.statusCode()).as(broken.body()).isEqualTo(502);
    assertExplained(
        broken, "decision=grant", "endpoint=engine-1", "dispatched=true", "outcome=unknown");
  }

  @Test
  void shouldLogStartAndStopWhenInstanceIsStoppedAsPlanned() {
    cluster.process("wien-a.2").terminate();
    cluster.process("wien-a.2").awaitExit();
    assertThat(cluster.process("wien-a.2").log())
        .contains("process started", "planned stop began", "process stopped");
  }

  private void assertExplained(HttpResponse<String> response, String... parts) {
    String request = response.headers().firstValue("Snipewick-Request").orElseThrow();
    Await.until(
        WAIT_TIMEOUT,
        () -> "end of " + request + " in the logs:\n" + cluster.processes().explain(request),
        () -> cluster.processes().explain(request).contains("Ended: request failed"));
    assertThat(cluster.processes().explain(request)).contains(parts);
  }
}
