package org.snipewick.request.http;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.snipewick.endpoint.http.FakeEndpoint;
import org.snipewick.failure.Failure;
import org.snipewick.failure.FailureType;
import org.snipewick.idempotency.KeyState;

/** Checks every failure that callers can receive against the description in docs/CALLERS.md. */
class ProblemsTest {
  private static final Path DOCUMENTATION = Path.of("..", "docs", "CALLERS.md");
  private static final String CHAT = "/v1/chat/completions";
  private static final String ORDERS = "/services/ordersvc/orders";
  private static final String KEY = "Idempotency-Key";
  private static final String TIMEOUT = "Snipewick-Timeout-Ms";

  /** Much less than the timeout of the calls, which is 10 s. */
  private static final Duration MAX_RESPONSE_TIME = Duration.ofSeconds(3);

  private final CallerServerFixture fixture = CallerServerFixture.start();
  private final CountDownLatch released = new CountDownLatch(1);
  private final FakeEndpoint endpoint =
      FakeEndpoint.start(call -> call.respond(200, FakeEndpoint.completion("fine")));

  ProblemsTest() {
    fixture.pool.setEndpoints(endpoint.status("endpoint-1"));
  }

  @AfterEach
  void stop() {
    released.countDown();
    fixture.close();
    endpoint.close();
  }

  /**
   * A call that fails: type of failure, outcome over all calls with the key, outcome of this
   * attempt, and the delay before a retry in seconds, 0 if none is advised.
   */
  enum Case {
    MALFORMED(FailureType.MALFORMED_REQUEST, "not-run", "not-run", 0) {
      @Override
      HttpResponse<String> call(ProblemsTest test) {
        return test.fixture.post(CHAT, "{");
      }
    },
    TOO_LARGE(FailureType.REQUEST_TOO_LARGE, "not-run", "not-run", 0) {
      @Override
      HttpResponse<String> call(ProblemsTest test) {
        return test.fixture.post(CHAT, CallerServerFixture.chat("x".repeat(9_000), false));
      }
    },
    UNAUTHENTICATED(FailureType.UNAUTHENTICATED, "not-run", "not-run", 0) {
      @Override
      HttpResponse<String> call(ProblemsTest test) {
        return test.chat("Authorization", "Bearer nobody");
      }
    },
    CLASS_TOO_HIGH(FailureType.FORBIDDEN, "not-run", "not-run", 0) {
      @Override
      HttpResponse<String> call(ProblemsTest test) {
        return test.chat("Snipewick-Class", "1");
      }
    },
    UNKNOWN_MODEL(FailureType.NOT_FOUND, "not-run", "not-run", 0) {
      @Override
      HttpResponse<String> call(ProblemsTest test) {
        return test.fixture.post(
            CHAT, CallerServerFixture.chat(false).replace("wickpool", "other"));
      }
    },
    UNKNOWN_SERVICE(FailureType.NOT_FOUND, "unknown", "not-run", 0) {
      @Override
      HttpResponse<String> call(ProblemsTest test) {
        return test.fixture.post("/services/other/x", "{}", KEY, "k");
      }
    },
    NO_KEY(FailureType.KEY_REQUIRED, "not-run", "not-run", 0) {
      @Override
      HttpResponse<String> call(ProblemsTest test) {
        return test.fixture.post(ORDERS, "{}");
      }
    },
    KEY_REUSED(FailureType.KEY_REUSED, "ran", "not-run", 0) {
      @Override
      HttpResponse<String> call(ProblemsTest test) {
        test.fixture.ledger.refusal = Failure.ran(FailureType.KEY_REUSED, "other body");
        return test.action();
      }
    },
    OTHER_METHOD(FailureType.METHOD_NOT_ALLOWED, "not-run", "not-run", 0) {
      @Override
      HttpResponse<String> call(ProblemsTest test) {
        return test.fixture.post("/v1/models", "{}");
      }
    },
    LIMIT(FailureType.LIMIT_EXCEEDED, "not-run", "not-run", 3) {
      @Override
      HttpResponse<String> call(ProblemsTest test) {
        test.fixture.limits.refusal =
            Failure.notRun(FailureType.LIMIT_EXCEEDED, "limit")
                .withRetryAfter(Duration.ofMillis(2_001));
        return test.chat();
      }
    },
    LIMIT_BEFORE_KEY(FailureType.LIMIT_EXCEEDED, "unknown", "not-run", 1) {
      @Override
      HttpResponse<String> call(ProblemsTest test) {
        test.fixture.limits.refusal = Failure.notRun(FailureType.LIMIT_EXCEEDED, "limit");
        return test.chat(KEY, "k");
      }
    },
    SHED(FailureType.SHED, "not-run", "not-run", 2) {
      @Override
      HttpResponse<String> call(ProblemsTest test) {
        return test.refusedByPool(
            Failure.notRun(FailureType.SHED, "load").withRetryAfter(Duration.ofSeconds(2)));
      }
    },
    SHED_WHILE_RUNNING(FailureType.SHED, "unknown", "unknown", 0) {
      @Override
      HttpResponse<String> call(ProblemsTest test) {
        test.endpoint.setScript(
            call ->
                test.fixture.pool.cancel.accept(
                    new org.snipewick.pool.Decision.Cancel(
                        test.fixture.pool.offered.get(0).id(), FailureType.SHED)));
        return test.chat();
      }
    },
    UNREACHABLE_DEADLINE(FailureType.DEADLINE_UNREACHABLE, "not-run", "not-run", 1) {
      @Override
      HttpResponse<String> call(ProblemsTest test) {
        return test.refusedByPool(Failure.notRun(FailureType.DEADLINE_UNREACHABLE, "late"));
      }
    },
    LATE_IN_QUEUE(FailureType.DEADLINE_EXCEEDED, "not-run", "not-run", 1) {
      @Override
      HttpResponse<String> call(ProblemsTest test) {
        test.fixture.pool.holdsRequests = true;
        return test.chat(TIMEOUT, "100");
      }
    },
    LATE_AFTER_DISPATCH(FailureType.DEADLINE_EXCEEDED, "unknown", "unknown", 0) {
      @Override
      HttpResponse<String> call(ProblemsTest test) {
        test.endpoint.setScript(call -> test.hang());
        return test.chat(TIMEOUT, "300");
      }
    },
    NO_ENDPOINT(FailureType.NO_ENDPOINT, "not-run", "not-run", 1) {
      @Override
      HttpResponse<String> call(ProblemsTest test) {
        return test.refusedByPool(Failure.notRun(FailureType.NO_ENDPOINT, "no scheduler"));
      }
    },
    STOPPING(FailureType.STOPPING, "not-run", "not-run", 1) {
      @Override
      HttpResponse<String> call(ProblemsTest test) {
        test.fixture.inFlight.stop(Duration.ZERO).join();
        return test.chat();
      }
    },
    PLATFORM_DOWN(FailureType.PLATFORM_UNAVAILABLE, "not-run", "not-run", 2) {
      @Override
      HttpResponse<String> call(ProblemsTest test) {
        test.fixture.ledger.refusal =
            Failure.notRun(FailureType.PLATFORM_UNAVAILABLE, "down")
                .withRetryAfter(Duration.ofSeconds(2));
        return test.action();
      }
    },
    PLATFORM_WRITE_AMBIGUOUS(FailureType.PLATFORM_UNAVAILABLE, "unknown", "not-run", 1) {
      @Override
      HttpResponse<String> call(ProblemsTest test) {
        test.fixture.ledger.refusal =
            Failure.unknown(FailureType.PLATFORM_UNAVAILABLE, "ambiguous write");
        return test.action();
      }
    },
    REGISTRAR_UNREACHABLE(FailureType.REGISTRAR_UNAVAILABLE, "unknown", "not-run", 1) {
      @Override
      HttpResponse<String> call(ProblemsTest test) {
        test.fixture.ledger.refusal = Failure.unknown(FailureType.REGISTRAR_UNAVAILABLE, "cut");
        return test.chat(KEY, "k");
      }
    },
    IN_PROGRESS(FailureType.IN_PROGRESS, "unknown", "not-run", 1) {
      @Override
      HttpResponse<String> call(ProblemsTest test) {
        return test.duplicate(new KeyState.InProgress());
      }
    },
    OUTCOME_UNKNOWN(FailureType.OUTCOME_UNKNOWN, "unknown", "not-run", 0) {
      @Override
      HttpResponse<String> call(ProblemsTest test) {
        return test.duplicate(new KeyState.Unknown());
      }
    },
    INCOMPLETE_RESPONSE(FailureType.ANSWER_INCOMPLETE, "unknown", "unknown", 0) {
      @Override
      HttpResponse<String> call(ProblemsTest test) {
        test.endpoint.setScript(call -> call.respond(200, "{\"choices\":[]}"));
        return test.chat();
      }
    },
    REJECTED_BY_ENDPOINT(FailureType.ENDPOINT_REFUSED, "not-run", "not-run", 1) {
      @Override
      HttpResponse<String> call(ProblemsTest test) {
        test.endpoint.setScript(
            call -> {
              call.setHeader("X-Not-Run", "true");
              call.respond(503, "{}");
            });
        return test.chat();
      }
    },
    NOT_CONNECTED(FailureType.ENDPOINT_REFUSED, "not-run", "not-run", 1) {
      @Override
      HttpResponse<String> call(ProblemsTest test) {
        test.endpoint.close();
        return test.action();
      }
    },
    PERMIT_EXPIRED(FailureType.ENDPOINT_REFUSED, "not-run", "not-run", 1) {
      @Override
      HttpResponse<String> call(ProblemsTest test) {
        test.fixture.pool.permitsExpired = true;
        return test.chat();
      }
    },
    RESPONSE_NOT_STORED(FailureType.ANSWER_NO_LONGER_HELD, "ran", "not-run", 0) {
      @Override
      HttpResponse<String> call(ProblemsTest test) {
        return test.duplicate(new KeyState.RanWithoutAnswer());
      }
    },
    DEFECT(FailureType.INTERNAL, "not-run", "not-run", 0) {
      @Override
      HttpResponse<String> call(ProblemsTest test) {
        test.fixture.ledger.claimGate =
            CompletableFuture.failedFuture(new IllegalStateException("defect"));
        return test.action();
      }
    };

    private final FailureType type;
    private final String outcome;
    private final String attempt;
    private final int retryAfterSeconds;

    Case(FailureType type, String outcome, String attempt, int retryAfterSeconds) {
      this.type = type;
      this.outcome = outcome;
      this.attempt = attempt;
      this.retryAfterSeconds = retryAfterSeconds;
    }

    abstract HttpResponse<String> call(ProblemsTest test);
  }

  @ParameterizedTest
  @EnumSource
  void shouldReportOutcomeAtOnceWhenCallFails(Case failed) throws IOException {
    long start = System.nanoTime();
    HttpResponse<String> response = failed.call(this);
    Duration responseTime = Duration.ofNanos(System.nanoTime() - start);

    assertThat(responseTime).isLessThan(MAX_RESPONSE_TIME);
    assertThat(response.statusCode()).isEqualTo(failed.type.status());
    assertThat(response.headers().firstValue("Content-Type")).hasValue("application/problem+json");
    assertThat(response.headers().firstValue("Snipewick-Request")).isPresent();
    JsonNode problem = new ObjectMapper().readTree(response.body());
    assertThat(problem.path("type").asText())
        .isEqualTo("urn:snipewick:problem:" + failed.type.number());
    assertThat(problem.path("outcome").asText()).isEqualTo(failed.outcome);
    assertThat(problem.path("attempt").asText()).isEqualTo(failed.attempt);
    assertThat(problem.path("retryAfterMillis").asLong() > 0)
        .isEqualTo(failed.retryAfterSeconds > 0);
    assertThat(response.headers().firstValue("Retry-After").map(Integer::valueOf).orElse(0))
        .isEqualTo(failed.retryAfterSeconds);
  }

  /**
   * Callers that left receive no response; a quarantine exists in the front process only, where
   * CrashingPartTest checks its response.
   */
  private static final Set<FailureType> WITHOUT_CASE =
      Set.of(FailureType.CALLER_LEFT, FailureType.QUARANTINED);

  @Test
  void shouldHaveCaseAndDocumentedRowWhenFailureTypeIsVisibleToCallers() throws IOException {
    List<String> rows = new ArrayList<>();
    Matcher row = Pattern.compile("(?m)^\\| (\\d{4}) \\| (\\d{3}) \\|").matcher(documentation());
    while (row.find()) {
      rows.add(row.group(1) + " " + row.group(2));
    }
    List<FailureType> visible =
        Stream.of(FailureType.values()).filter(type -> isVisibleToCallers(type.number())).toList();

    assertThat(rows)
        .containsExactlyElementsOf(
            visible.stream().map(type -> type.number() + " " + type.status()).toList());
    assertThat(Stream.of(Case.values()).map(each -> each.type))
        .containsAll(visible.stream().filter(type -> !WITHOUT_CASE.contains(type)).toList());
  }

  /** Problem numbers from 1301 to 1501 are for operators and peers. */
  private static boolean isVisibleToCallers(int number) {
    return number < 1300 || number > 1900;
  }

  private static String documentation() throws IOException {
    return Files.readString(DOCUMENTATION);
  }

  private void hang() {
    try {
      released.await();
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
  }

  private HttpResponse<String> chat(String... headers) {
    return fixture.post(CHAT, CallerServerFixture.chat(false), headers);
  }

  private HttpResponse<String> action() {
    return fixture.post(ORDERS, "{}", KEY, "k");
  }

  private HttpResponse<String> refusedByPool(Failure refusal) {
    fixture.pool.refusal = refusal;
    return chat();
  }

  private HttpResponse<String> duplicate(KeyState state) {
    fixture.ledger.states.put("fleet/k", state);
    return action();
  }
}
