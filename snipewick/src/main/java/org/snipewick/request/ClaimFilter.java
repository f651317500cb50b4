package org.snipewick.request;

import static java.util.Objects.requireNonNull;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.time.Duration;
import java.util.Arrays;
import java.util.Base64;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.snipewick.event.EventLog;
import org.snipewick.event.EventType;
import org.snipewick.failure.Failure;
import org.snipewick.failure.FailureType;
import org.snipewick.failure.Outcome;
import org.snipewick.failure.ProblemDocument;
import org.snipewick.idempotency.KeyState;
import org.snipewick.idempotency.KeyedRequest;
import org.snipewick.idempotency.RequestLedger;
import org.snipewick.idempotency.StoredAnswer;
import org.snipewick.time.TimerService;

/**
 * Claims the idempotency key of a call in the ledger. Only the first call with a key proceeds;
 * duplicate requests are answered from the ledger.
 */
final class ClaimFilter implements Filter {
  private static final int FINGERPRINT_BYTES = 16;

  /** Longest time for which an update of the ledger delays the answer to the caller. */
  private static final Duration MAX_LEDGER_WAIT = Duration.ofMillis(250);

  private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

  private final RequestLedger ledger;
  private final TimerService timer;
  private final EventLog log;

  private ClaimFilter(RequestLedger ledger, TimerService timer, EventLog log) {
    this.ledger = ledger;
    this.timer = timer;
    this.log = log;
  }

  static ClaimFilter of(RequestLedger ledger, TimerService timer, EventLog log) {
    return new ClaimFilter(
        requireNonNull(ledger, "ledger"),
        requireNonNull(timer, "timer"),
        requireNonNull(log, "log"));
  }

  @Override
  public CompletableFuture<Answer> apply(CallContext context, Chain next) {
    if (context.key().isEmpty()) {
      return context.target().isAction() ? refuseWithoutKey() : next.proceed(context);
    }
    KeyedRequest request = keyedRequest(context, context.key().get());
    return claimUnlessAbandoned(context, next, request);
  }

  /**
   * Claims the key and proceeds. A call that is abandoned during its claim fails at once; if the
   * ledger grants the claim later, it is released then.
   */
  private CompletableFuture<Answer> claimUnlessAbandoned(
      CallContext context, Chain next, KeyedRequest request) {
    CompletableFuture<Answer> result = new CompletableFuture<>();
    context.lifecycle().markKeyLookupStarted();
    CompletableFuture<KeyState> claim = ledger.claim(request);
    Futures.forward(claim.thenCompose(state -> decide(context, next, request, state)), result);
    Futures.whenResult(
        context.lifecycle().abandonment(),
        reason -> {
          if (!claim.isDone()) {
            result.completeExceptionally(reason.withOutcome(Outcome.UNKNOWN).toException());
          }
        });
    return result;
  }

  private CompletableFuture<Answer> decide(
      CallContext context, Chain next, KeyedRequest request, KeyState state) {
    String subject = context.id().toString();
    Map<String, Object> details = Map.of("key", request.key(), "state", nameOf(state));
    if (state instanceof KeyState.Fresh) {
      log.record(EventType.KEY_CLAIMED, subject, details);
      return runClaimed(context, next, request);
    }
    log.record(EventType.KEY_REPEATED, subject, details);
    return answerDuplicate(state);
  }

  private CompletableFuture<Answer> runClaimed(
      CallContext context, Chain next, KeyedRequest request) {
    return Futures.andThen(
        next.proceed(context),
        (answer, failure) ->
            failure == null
                ? storeAnswer(request, answer)
                : recordFailure(context, request, failure));
  }

  private CompletableFuture<Answer> storeAnswer(KeyedRequest request, Answer answer) {
    if (answer instanceof Answer.Streamed streamed) {
      AnswerStream events = streamed.events();
      Futures.whenResult(events.ending(), ending -> recordEnding(request, events, ending));
      return CompletableFuture.completedFuture(answer);
    }
    return awaitBriefly(ledger.complete(request, toStoredAnswer((Answer.Whole) answer)))
        .thenApply(done -> answer);
  }

  private void recordEnding(KeyedRequest request, AnswerStream events, Ending ending) {
    if (ending.failure().isPresent()) {
      logIfFailed(request, ledger.markUnknown(request));
      return;
    }
    StoredAnswer answer =
        events
            .transcript()
            .map(text -> new StoredAnswer(200, Answer.Streamed.CONTENT_TYPE, text))
            .orElseGet(ClaimFilter::answerNotStored);
    logIfFailed(request, ledger.complete(request, answer));
  }

  /**
   * Logs a failed update of the ledger. Nothing else is needed: without the update a duplicate
   * request fails with an unknown outcome, which is correct.
   */
  private void logIfFailed(KeyedRequest request, CompletableFuture<Void> update) {
    Futures.whenDone(
        update,
        (done, failure) -> {
          if (failure != null) {
            log.record(
                EventType.REQUEST_FAILED,
                request.id().toString(),
                Map.of("key", request.key(), "failure", failure.type().number()));
          }
        });
  }

  private CompletableFuture<Answer> recordFailure(
      CallContext context, KeyedRequest request, Failure failure) {
    CompletableFuture<Void> update =
        context.lifecycle().isDispatched()
            ? ledger.markUnknown(request)
            : ledger.releaseNotRun(request);
    return awaitBriefly(update).thenCompose(done -> Futures.failed(failure));
  }

  private static CompletableFuture<Answer> answerDuplicate(KeyState state) {
    if (state instanceof KeyState.Ran ran) {
      return CompletableFuture.completedFuture(replay(ran.answer()));
    }
    return CompletableFuture.failedFuture(refusalOf(state).toException());
  }

  private static Failure refusalOf(KeyState state) {
    if (state instanceof KeyState.InProgress) {
      return Failure.unknown(FailureType.IN_PROGRESS, "a request with this key is in progress")
          .withRetryAfter(RETRY_AFTER);
    }
    if (state instanceof KeyState.RanWithoutAnswer) {
      return Failure.ran(
          FailureType.ANSWER_NO_LONGER_HELD,
          "a request with this key ran; its answer is not stored");
    }
    return Failure.unknown(
        FailureType.OUTCOME_UNKNOWN, "a request with this key may have run; it will not run again");
  }

  private static Answer replay(StoredAnswer answer) {
    if (answer.contentType().startsWith(Answer.Streamed.CONTENT_TYPE)) {
      return Answer.streamed(AnswerStream.ofCompleteText(answer.body()));
    }
    return Answer.whole(
        answer.status(), answer.contentType(), answer.body().getBytes(StandardCharsets.UTF_8), 0);
  }

  private static StoredAnswer toStoredAnswer(Answer.Whole answer) {
    String text = new String(answer.body(), StandardCharsets.UTF_8);
    boolean isText = Arrays.equals(text.getBytes(StandardCharsets.UTF_8), answer.body());
    return isText
        ? new StoredAnswer(answer.status(), answer.contentType(), text)
        : answerNotStored();
  }

  /**
   * Returns the answer to duplicate requests of a request whose own answer is not stored because it
   * is too long or not text.
   */
  private static StoredAnswer answerNotStored() {
    Failure failure =
        Failure.ran(FailureType.ANSWER_NO_LONGER_HELD, "the request ran; its answer is not stored");
    return new StoredAnswer(
        failure.type().status(),
        ProblemDocument.CONTENT_TYPE,
        ProblemText.document(failure, false));
  }

  /**
   * Returns a future that completes when an update of the ledger succeeds, fails or exceeds {@link
   * #MAX_LEDGER_WAIT}, so that the caller does not wait longer for its answer.
   */
  private CompletableFuture<Void> awaitBriefly(CompletableFuture<Void> update) {
    CompletableFuture<Void> result = new CompletableFuture<>();
    TimerService.Subscription expiry = timer.after(MAX_LEDGER_WAIT, () -> result.complete(null));
    Futures.whenDone(
        update,
        (done, failure) -> {
          expiry.cancel();
          result.complete(null);
        });
    return result;
  }

  private static CompletableFuture<Answer> refuseWithoutKey() {
    return CompletableFuture.failedFuture(
        Failure.notRun(
                FailureType.KEY_REQUIRED, "requests with side effects need an idempotency key")
            .toException());
  }

  private static KeyedRequest keyedRequest(CallContext context, String key) {
    return new KeyedRequest(
        context.id(),
        context.team(),
        key,
        fingerprint(context.request()),
        context.target().isAction());
  }

  /**
   * Returns the first 128 bits of a SHA-256 hash of method, path, query and body, Base64-encoded.
   * They are truncated because each request carries the fingerprint in four messages.
   */
  static String fingerprint(CallerRequest request) {
    MessageDigest digest = TeamIndex.newSha256();
    digest.update(
        (request.method() + " " + request.pathAndQuery() + "\n").getBytes(StandardCharsets.UTF_8));
    byte[] hash = Arrays.copyOf(digest.digest(request.body()), FINGERPRINT_BYTES);
    return Base64.getUrlEncoder().withoutPadding().encodeToString(hash);
  }

  private static String nameOf(KeyState state) {
    return state.getClass().getSimpleName();
  }
}
