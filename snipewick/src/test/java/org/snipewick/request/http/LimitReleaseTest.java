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

/** However a call ends, the tokens that it reserved and did not use are released exactly once. */
@Timeout(60)
class LimitReleaseTest {
  private static final String CHAT = "/v1/chat/completions";
  private static final String KEY = "Idempotency-Key";
  private static final String TIMEOUT = "Snipewick-Timeout-Ms";
  private static final int PROMPT_TOKENS = 6;
  private static final int MAX_OUTPUT_TOKENS = 1000;

  private final CallerServerFixture fixture = CallerServerFixture.start();
  private final CountDownLatch released = new CountDownLatch(1);
  private final CountDownLatch closed = new CountDownLatch(1);
  private final FakeEndpoint endpoint = FakeEndpoint.start(LimitReleaseTest::complete);

  LimitReleaseTest() {
    fixture.pool.setEndpoints(endpoint.status("engine-1"));
  }

  @AfterEach
  void stop() {
    released.countDown();
    closed.countDown();
    fixture.close();
    endpoint.close();
  }

  /** How a model request ends, whether it was dispatched, and how many output tokens it used. */
  enum End {
    COMPLETE(true, 3) {
      @Override
      void run(LimitReleaseTest test) {
        assertThat(test.send(false).statusCode()).isEqualTo(200);
      }
    },
    STREAMED(true, 5) {
      @Override
      void run(LimitReleaseTest test) {
        assertThat(test.send(true).body()).endsWith("[DONE]\n\n");
      }
    },
    SHED(false, 0) {
      @Override
      void run(LimitReleaseTest test) {
        test.fixture.pool.refusal = Failure.notRun(FailureType.SHED, "no room");
        assertThat(test.send(false).statusCode()).isEqualTo(503);
      }
    },
    CLAIM_REFUSED(false, 0) {
      @Override
      void run(LimitReleaseTest test) {
        test.fixture.ledger.refusal = Failure.notRun(FailureType.PLATFORM_UNAVAILABLE, "down");
        assertThat(test.send(false, KEY, "k").statusCode()).isEqualTo(503);
      }
    },
    DUPLICATE(false, 0) {
      @Override
      void run(LimitReleaseTest test) {
        test.fixture.ledger.states.put(
            "fleet/k", new KeyState.Ran(new StoredAnswer(200, "application/json", "{}")));
        assertThat(test.send(false, KEY, "k").statusCode()).isEqualTo(200);
      }
    },
    DUPLICATE_STREAM(false, 0) {
      @Override
      void run(LimitReleaseTest test) {
        test.fixture.ledger.states.put(
            "fleet/k", new KeyState.Ran(new StoredAnswer(200, "text/event-stream", "data: x")));
        assertThat(test.send(true, KEY, "k").statusCode()).isEqualTo(200);
      }
    },
    REJECTED_BY_ENDPOINT(false, 0) {
      @Override
      void run(LimitReleaseTest test) {
        test.endpoint.setScript(
            call -> {
              call.setHeader("X-Not-Run", "true");
              call.respond(503, "{}");
            });
        assertThat(test.send(false).statusCode()).isEqualTo(503);
        assertThat(test.endpoint.dispatches()).isEqualTo(3);
      }
    },
    LATE_IN_QUEUE(false, 0) {
      @Override
      void run(LimitReleaseTest test) throws InterruptedException {
        test.fixture.pool.holdsRequests = true;
        assertThat(test.send(false, TIMEOUT, "200").statusCode()).isEqualTo(504);
        test.fixture.pool.grantHeld();
      }
    },
    LATE_AFTER_DISPATCH(true, 0) {
      @Override
      void run(LimitReleaseTest test) {
        test.endpoint.setScript(test::hang);
        assertThat(test.send(false, TIMEOUT, "200").statusCode()).isEqualTo(504);
      }
    },
    CANCELLED_BY_SCHEDULER(true, 0) {
      @Override
      void run(LimitReleaseTest test) throws InterruptedException {
        test.endpoint.setScript(test::hang);
        CompletableFuture<HttpResponse<String>> response =
            test.fixture.postAsync(CHAT, CallerServerFixture.chat(false));
        assertThat(test.endpoint.awaitRequestLine()).startsWith("POST");
        test.fixture.pool.cancel.accept(
            new Decision.Cancel(test.fixture.pool.offered.get(0).id(), FailureType.SHED));
        assertThat(response.join().statusCode()).isEqualTo(503);
      }
    },
    BROKEN(true, 0) {
      @Override
      void run(LimitReleaseTest test) {
        test.endpoint.setScript(call -> call.respondTruncated(200, "{", 10));
        assertThat(test.send(false).statusCode()).isEqualTo(502);
      }
    },
    CALLER_LEFT(true, 0) {
      @Override
      void run(LimitReleaseTest test) throws Exception {
        test.endpoint.setScript(test::hang);
        try (RawCaller caller = RawCaller.connect(test.fixture)) {
          caller.post(CHAT, CallerServerFixture.chat(false), "left");
          assertThat(test.endpoint.awaitRequestLine()).startsWith("POST");
        }
      }
    },
    CALLER_LEFT_QUEUE(false, 0) {
      @Override
      void run(LimitReleaseTest test) throws Exception {
        test.fixture.pool.holdsRequests = true;
        try (RawCaller caller = RawCaller.connect(test.fixture)) {
          caller.post(CHAT, CallerServerFixture.chat(false), "left");
          test.fixture.pool.awaitHeld();
        }
      }
    };

    private final boolean dispatched;
    private final int outputTokens;

    End(boolean dispatched, int outputTokens) {
      this.dispatched = dispatched;
      this.outputTokens = outputTokens;
    }

    abstract void run(LimitReleaseTest test) throws Exception;
  }

  @ParameterizedTest
  @EnumSource
  void shouldReleaseUnusedTokensOnceWhenCallEnds(End end) throws Exception {
    end.run(this);

    long used = (end.dispatched ? PROMPT_TOKENS : 0) + end.outputTokens;
    assertThat(fixture.limits.awaitRelease())
        .isEqualTo(new Release(PROMPT_TOKENS + MAX_OUTPUT_TOKENS, used));
    released.countDown();
    fixture.server.stop(Duration.ZERO).join();
    assertThat(fixture.limits.pendingReleases()).isZero();
  }

  @Test
  void shouldCountStreamedTokensAsUsedWhenDeadlinePassesMidStream() throws Exception {
    endpoint.setScript(
        call -> {
          call.beginStream();
          call.sendEventsUntilClosed(closed);
        });

    assertThat(send(true, TIMEOUT, "400").body()).contains("problem:1104");

    Release release = fixture.limits.awaitRelease();
    assertThat(release.reserved()).isEqualTo(PROMPT_TOKENS + MAX_OUTPUT_TOKENS);
    assertThat(release.used()).isBetween(PROMPT_TOKENS + 1L, 1L * MAX_OUTPUT_TOKENS);
    assertThat(fixture.limits.pendingReleases()).isZero();
  }

  @Test
  void shouldReleaseNothingWhenLimitRefuses() {
    fixture.limits.refusal = Failure.notRun(FailureType.LIMIT_EXCEEDED, "limit of team fleet");

    assertThat(send(false).statusCode()).isEqualTo(429);

    fixture.server.stop(Duration.ZERO).join();
    assertThat(fixture.limits.pendingReleases()).isZero();
    assertThat(fixture.pool.offered).isEmpty();
  }

  private HttpResponse<String> send(boolean streamed, String... headers) {
    return fixture.post(CHAT, CallerServerFixture.chat(streamed), headers);
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
      call.sendTokens(1, 5, 5);
      call.sendTerminator();
    } else {
      call.respond(200, FakeEndpoint.completion("fine"));
    }
  }
}
