package org.snipewick.request.http;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.snipewick.endpoint.http.FakeEndpoint;
import org.snipewick.failure.Failure;
import org.snipewick.failure.FailureType;
import org.snipewick.idempotency.KeyState;
import org.snipewick.idempotency.StoredAnswer;
import org.snipewick.pool.Decision;
import org.snipewick.request.http.RecordingLimits.Release;

/** However a call ends, its team gets back once what it reserved and did not use. */
@Timeout(60)
class LimitReleaseTest {
  private static final String CHAT = "/v1/chat/completions";
  private static final String KEY = "Idempotency-Key";
  private static final String TIMEOUT = "Snipewick-Timeout-Ms";
  private static final int PROMPT_TOKENS = 6;
  private static final int MAX_OUTPUT_TOKENS = 1000;

  private final Front front = Front.start();
  private final CountDownLatch released = new CountDownLatch(1);
  private final CountDownLatch closed = new CountDownLatch(1);
  private final FakeEndpoint endpoint = FakeEndpoint.start(LimitReleaseTest::complete);

  LimitReleaseTest() {
    front.pool.setEndpoints(endpoint.status("engine-1"));
  }

  @AfterEach
  void stop() {
    released.countDown();
    closed.countDown();
    front.close();
    endpoint.close();
  }

  /** How a model request ends, and what its team has used then. */
  enum End {
    COMPLETE(true, 3) {
      @Override
      void play(LimitReleaseTest test) {
        assertThat(test.send(false).statusCode()).isEqualTo(200);
      }
    },
    STREAMED(true, 5) {
      @Override
      void play(LimitReleaseTest test) {
        assertThat(test.send(true).body()).endsWith("[DONE]\n\n");
      }
    },
    SHED(false, 0) {
      @Override
      void play(LimitReleaseTest test) {
        test.front.pool.refusal = Failure.notRun(FailureType.SHED, "no room");
        assertThat(test.send(false).statusCode()).isEqualTo(503);
      }
    },
    CLAIM_REFUSED(false, 0) {
      @Override
      void play(LimitReleaseTest test) {
        test.front.ledger.refusal = Failure.notRun(FailureType.PLATFORM_UNAVAILABLE, "down");
        assertThat(test.send(false, KEY, "k").statusCode()).isEqualTo(503);
      }
    },
    REPEATED(false, 0) {
      @Override
      void play(LimitReleaseTest test) {
        test.front.ledger.states.put(
            "fleet/k", new KeyState.Ran(new StoredAnswer(200, "application/json", "{}")));
        assertThat(test.send(false, KEY, "k").statusCode()).isEqualTo(200);
      }
    },
    REPEATED_STREAM(false, 0) {
      @Override
      void play(LimitReleaseTest test) {
        test.front.ledger.states.put(
            "fleet/k", new KeyState.Ran(new StoredAnswer(200, "text/event-stream", "data: x")));
        assertThat(test.send(true, KEY, "k").statusCode()).isEqualTo(200);
      }
    },
    REFUSED_BY_ENDPOINT(false, 0) {
      @Override
      void play(LimitReleaseTest test) {
        test.endpoint.setScript(
            call -> {
              call.setHeader("X-Not-Run", "true");
              call.whole(503, "{}");
            });
        assertThat(test.send(false).statusCode()).isEqualTo(503);
        assertThat(test.endpoint.dispatches()).isEqualTo(3);
      }
    },
    LATE_IN_QUEUE(false, 0) {
      @Override
      void play(LimitReleaseTest test) throws InterruptedException {
        test.front.pool.holding = true;
        assertThat(test.send(false, TIMEOUT, "200").statusCode()).isEqualTo(504);
        test.front.pool.grantHeld();
      }
    },
    LATE_AFTER_DISPATCH(true, 0) {
      @Override
      void play(LimitReleaseTest test) {
        test.endpoint.setScript(test::hang);
        assertThat(test.send(false, TIMEOUT, "200").statusCode()).isEqualTo(504);
      }
    },
    CANCELLED_BY_SCHEDULER(true, 0) {
      @Override
      void play(LimitReleaseTest test) throws InterruptedException {
        test.endpoint.setScript(test::hang);
        CompletableFuture<HttpResponse<String>> response =
            test.front.postAsync(CHAT, Front.chat(false));
        assertThat(test.endpoint.awaitLine()).startsWith("POST");
        test.front.pool.cancel.accept(
            new Decision.Cancel(test.front.pool.offered.get(0).id(), FailureType.SHED));
        assertThat(response.join().statusCode()).isEqualTo(503);
      }
    },
    BROKEN(true, 0) {
      @Override
      void play(LimitReleaseTest test) {
        test.endpoint.setScript(call -> call.truncated(200, "{", 10));
        assertThat(test.send(false).statusCode()).isEqualTo(502);
      }
    },
    CALLER_LEFT(true, 0) {
      @Override
      void play(LimitReleaseTest test) throws Exception {
        test.endpoint.setScript(test::hang);
        try (RawCaller caller = RawCaller.connect(test.front)) {
          caller.post(CHAT, Front.chat(false), "left");
          assertThat(test.endpoint.awaitLine()).startsWith("POST");
        }
      }
    },
    CALLER_LEFT_QUEUE(false, 0) {
      @Override
      void play(LimitReleaseTest test) throws Exception {
        test.front.pool.holding = true;
        try (RawCaller caller = RawCaller.connect(test.front)) {
          caller.post(CHAT, Front.chat(false), "left");
          test.front.pool.awaitHeld();
        }
      }
    };

    private final boolean prefilled;
    private final int outputTokens;

    End(boolean prefilled, int outputTokens) {
      this.prefilled = prefilled;
      this.outputTokens = outputTokens;
    }

    abstract void play(LimitReleaseTest test) throws Exception;
  }

  @ParameterizedTest
  @EnumSource
  void shouldGiveBackOnceWhatWasNotUsedWhenCallEnds(End end) throws Exception {
    end.play(this);

    long used = (end.prefilled ? PROMPT_TOKENS : 0) + end.outputTokens;
    assertThat(front.limits.awaitRelease())
        .isEqualTo(new Release(PROMPT_TOKENS + MAX_OUTPUT_TOKENS, used));
    released.countDown();
    front.server.stop(Duration.ZERO).join();
    assertThat(front.limits.waitingReleases()).isZero();
  }

  @Test
  void shouldCountWhatWasStreamedWhenDeadlinePassesMidStream() throws Exception {
    endpoint.setScript(
        call -> {
          call.beginStream();
          call.untilClosed(closed);
        });

    assertThat(send(true, TIMEOUT, "400").body()).contains("problem:1104");

    Release release = front.limits.awaitRelease();
    assertThat(release.reserved()).isEqualTo(PROMPT_TOKENS + MAX_OUTPUT_TOKENS);
    assertThat(release.used()).isBetween(PROMPT_TOKENS + 1L, 1L * MAX_OUTPUT_TOKENS);
    assertThat(front.limits.waitingReleases()).isZero();
  }

  @Test
  void shouldGiveNothingBackWhenLimitRefuses() {
    front.limits.refusal = Failure.notRun(FailureType.LIMIT_EXCEEDED, "limit of team fleet");

    assertThat(send(false).statusCode()).isEqualTo(429);

    front.server.stop(Duration.ZERO).join();
    assertThat(front.limits.waitingReleases()).isZero();
    assertThat(front.pool.offered).isEmpty();
  }

  private HttpResponse<String> send(boolean streamed, String... headers) {
    return front.post(CHAT, Front.chat(streamed), headers);
  }

  private void hang(FakeEndpoint.Call call) {
    try {
      released.await();
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
  }

  private static void complete(FakeEndpoint.Call call) throws IOException {
    if (call.body().contains("\"stream\":true")) {
      call.beginStream();
      call.tokens(1, 5, 5);
      call.done();
    } else {
      call.whole(200, FakeEndpoint.completion("fine"));
    }
  }
}
