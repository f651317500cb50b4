package org.snipewick.systemtests;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.snipewick.bench.cluster.Await;
import org.snipewick.bench.cluster.Cluster;
import org.snipewick.bench.cluster.Http;

/** Tests pairs of faults while a booking and a keyed model request are in flight. */
class FaultPairsTest {
  private static final Duration WAIT_TIMEOUT = Duration.ofSeconds(20);
  private static final String BOOKING = "booking-1";
  private static final Map<String, String> KEY_HEADER = Map.of("Idempotency-Key", "question-1");
  private Cluster cluster;

  @BeforeEach
  void start() {
    cluster =
        Cluster.start()
            .startEngine("engine-1", "wien-a", "--decode-millis-per-token", "40")
            .startEngine("engine-2", "wien-a", "--decode-millis-per-token", "40")
            .startService("orders-1", "wien-a", "--work-millis", "1500")
            .startEntries("wien-a.1", "wien-a.2", "wien-a.3", "linz.1")
            .applyTestCatalogue("wien-a.1");
  }

  @AfterEach
  void stop() {
    cluster.close();
  }

  /** Two faults that are injected while both requests are in flight through wien-a.1. */
  enum FaultPair {
    PAUSE_WITH_OUTAGE {
      @Override
      void inject(Cluster cluster) {
        cluster.process("wien-a.1").pause();
        cluster.setFaults("platform", "{\"outage\":true}");
      }
    },
    KILL_WITH_LOST_RESPONSES {
      @Override
      void inject(Cluster cluster) {
        cluster.setFaults("platform", "{\"loseAnswers\":true}");
        cluster.process("wien-a.1").kill();
      }
    },
    KILL_WITH_STALE_READS {
      @Override
      void inject(Cluster cluster) {
        cluster.setFaults("platform", "{\"staleReads\":true,\"staleMillis\":60000}");
        cluster.process("wien-a.1").kill();
      }
    },
    SLOW_ENGINE_WITH_OUTAGE {
      @Override
      void inject(Cluster cluster) {
        cluster.setFaults("engine-1", "{\"slowFactor\":8}");
        cluster.setFaults("platform", "{\"outage\":true}");
      }
    },
    PAUSE_WITH_KILL {
      @Override
      void inject(Cluster cluster) {
        cluster.process("wien-a.1").pause();
        cluster.process("wien-a.2").kill();
      }
    };

    abstract void inject(Cluster cluster);

    boolean pausesInstance() {
      return this == PAUSE_WITH_OUTAGE || this == PAUSE_WITH_KILL;
    }
  }

  @ParameterizedTest
  @EnumSource
  void shouldRunOnceAndReportConsistentOutcomesWhenTwoFaultsOccurTogether(FaultPair pair) {
    final CompletableFuture<HttpResponse<String>> booking =
        cluster.sendBooking("wien-a.1", BOOKING);
    final CompletableFuture<HttpResponse<String>> modelRequest =
        sendModelRequest("wien-a.1", KEY_HEADER);
    Await.until(
        WAIT_TIMEOUT,
        () ->
            "both dispatched; calls %d, %s; dispatches %d, %s"
                .formatted(
                    calls(), Http.progress(booking), dispatches(), Http.progress(modelRequest)),
        () -> calls() == 1 && dispatches() == 1);
    pair.inject(cluster);
    sendDuplicates();
    for (String instance : List.of("wien-a.3", "linz.1")) {
      Await.until(
          WAIT_TIMEOUT,
          "service through " + instance,
          () -> isComplete(sendModelRequest(instance, Map.of()).join()));
    }
    cluster.setFaults("platform", "{}");
    if (pair.pausesInstance()) {
      cluster.process("wien-a.1").resume();
    }
    booking.exceptionally(failure -> null).join();
    modelRequest.exceptionally(failure -> null).join();
    if (pair == FaultPair.SLOW_ENGINE_WITH_OUTAGE) {
      assertThat(isComplete(modelRequest.join())).as(modelRequest.join().body()).isTrue();
    }
    Await.until(
        WAIT_TIMEOUT,
        "new booking after the faults",
        () -> cluster.sendBooking("wien-a.3", "booking-2").join().statusCode() == 200);
    sendDuplicates();
    assertThat(cluster.counters("orders-1").path("effects").path(BOOKING).asInt()).isEqualTo(1);
    assertThat(cluster.counters("orders-1").path("effects").path("booking-2").asInt()).isEqualTo(1);
    assertThat(dispatches()).isEqualTo(1);
  }

  /** Sends duplicates of both requests elsewhere; no response may say that they were not run. */
  private void sendDuplicates() {
    for (String instance : List.of("wien-a.3", "linz.1")) {
      assertConsistentOutcome(cluster.sendBooking(instance, BOOKING).join());
      assertConsistentOutcome(sendModelRequest(instance, KEY_HEADER).join());
    }
  }

  private static void assertConsistentOutcome(HttpResponse<String> duplicate) {
    if (duplicate.statusCode() != 200) {
      assertThat(Http.json(duplicate.body()).path("outcome").asText())
          .as(duplicate.body())
          .isNotEqualTo("not-run");
    }
  }

  private CompletableFuture<HttpResponse<String>> sendModelRequest(
      String instance, Map<String, String> headers) {
    return cluster.sendChatRequest(instance, "long route", 40, true, headers);
  }

  private static boolean isComplete(HttpResponse<String> response) {
    return response.statusCode() == 200 && response.body().strip().endsWith("data: [DONE]");
  }

  private int calls() {
    return cluster.counters("orders-1").path("calls").asInt();
  }

  private int dispatches() {
    return cluster.counters("engine-1").path("byKey").path("question-1").asInt()
        + cluster.counters("engine-2").path("byKey").path("question-1").asInt();
  }
}
