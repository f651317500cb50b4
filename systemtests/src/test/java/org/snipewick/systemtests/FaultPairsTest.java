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

/** Two faults at once, while a booking and a keyed model request are under way. */
class FaultPairsTest {
  private static final Duration REACTION = Duration.ofSeconds(20);
  private static final String BOOKING = "booking-1";
  private static final Map<String, String> KEY = Map.of("Idempotency-Key", "question-1");
  private Cluster cluster;

  @BeforeEach
  void start() {
    cluster =
        Cluster.start()
            .engine("engine-1", "wien-a", "--decode-millis-per-token", "40")
            .engine("engine-2", "wien-a", "--decode-millis-per-token", "40")
            .service("orders-1", "wien-a", "--work-millis", "1500")
            .entries("wien-a.1", "wien-a.2", "wien-a.3", "linz.1")
            .catalogue("wien-a.1");
  }

  @AfterEach
  void stop() {
    cluster.close();
  }

  /** Both calls are under way at wien-a.1 when the faults begin. */
  enum Pair {
    PAUSE_WITH_OUTAGE {
      @Override
      void begin(Cluster cluster) {
        cluster.process("wien-a.1").pause();
        cluster.faults("platform", "{\"outage\":true}");
      }
    },
    KILL_WITH_LOST_ANSWERS {
      @Override
      void begin(Cluster cluster) {
        cluster.faults("platform", "{\"loseAnswers\":true}");
        cluster.process("wien-a.1").kill();
      }
    },
    KILL_WITH_STALE_READS {
      @Override
      void begin(Cluster cluster) {
        cluster.faults("platform", "{\"staleReads\":true,\"staleMillis\":60000}");
        cluster.process("wien-a.1").kill();
      }
    },
    STRAGGLER_WITH_OUTAGE {
      @Override
      void begin(Cluster cluster) {
        cluster.faults("engine-1", "{\"slowFactor\":8}");
        cluster.faults("platform", "{\"outage\":true}");
      }
    },
    PAUSE_WITH_KILL {
      @Override
      void begin(Cluster cluster) {
        cluster.process("wien-a.1").pause();
        cluster.process("wien-a.2").kill();
      }
    };

    abstract void begin(Cluster cluster);

    boolean pauses() {
      return this == PAUSE_WITH_OUTAGE || this == PAUSE_WITH_KILL;
    }
  }

  @ParameterizedTest
  @EnumSource
  void shouldKeepPromisesWhenTwoFaultsComeTogether(Pair pair) {
    final CompletableFuture<HttpResponse<String>> booking = cluster.book("wien-a.1", BOOKING);
    final CompletableFuture<HttpResponse<String>> question = ask("wien-a.1", KEY);
    Await.until(
        REACTION,
        () ->
            "both dispatched; calls %d, %s; dispatches %d, %s"
                .formatted(calls(), Http.progress(booking), dispatches(), Http.progress(question)),
        () -> calls() == 1 && dispatches() == 1);
    pair.begin(cluster);
    repeat();
    for (String instance : List.of("wien-a.3", "linz.1")) {
      Await.until(
          REACTION, "service through " + instance, () -> isWhole(ask(instance, Map.of()).join()));
    }
    cluster.faults("platform", "{}");
    if (pair.pauses()) {
      cluster.process("wien-a.1").resume();
    }
    booking.exceptionally(failure -> null).join();
    question.exceptionally(failure -> null).join();
    if (pair == Pair.STRAGGLER_WITH_OUTAGE) {
      assertThat(isWhole(question.join())).as(question.join().body()).isTrue();
    }
    Await.until(
        REACTION,
        "new booking after the faults",
        () -> cluster.book("wien-a.3", "booking-2").join().statusCode() == 200);
    repeat();
    assertThat(cluster.truth("orders-1").path("effects").path(BOOKING).asInt()).isEqualTo(1);
    assertThat(cluster.truth("orders-1").path("effects").path("booking-2").asInt()).isEqualTo(1);
    assertThat(dispatches()).isEqualTo(1);
  }

  /** Repeats both calls elsewhere; no answer may say that they were not run. */
  private void repeat() {
    for (String instance : List.of("wien-a.3", "linz.1")) {
      assertTruthful(cluster.book(instance, BOOKING).join());
      assertTruthful(ask(instance, KEY).join());
    }
  }

  private static void assertTruthful(HttpResponse<String> repeat) {
    if (repeat.statusCode() != 200) {
      assertThat(Http.json(repeat.body()).path("outcome").asText())
          .as(repeat.body())
          .isNotEqualTo("not-run");
    }
  }

  private CompletableFuture<HttpResponse<String>> ask(
      String instance, Map<String, String> headers) {
    return cluster.model(instance, "long route", 40, true, headers);
  }

  private static boolean isWhole(HttpResponse<String> answer) {
    return answer.statusCode() == 200 && answer.body().strip().endsWith("data: [DONE]");
  }

  private int calls() {
    return cluster.truth("orders-1").path("calls").asInt();
  }

  private int dispatches() {
    return cluster.truth("engine-1").path("byKey").path("question-1").asInt()
        + cluster.truth("engine-2").path("byKey").path("question-1").asInt();
  }
}
