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

/** Lets only the first call with an idempotency key go on, and answers repeats from memory. */
final class ClaimFilter implements Filter {
  private static final int FINGERPRINT_BYTES = 16;
  private static final Duration LONGEST_NOTE = Duration.ofMillis(250);
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
    return claimInTime(context, next, request);
  }

  /** A call given up on during its claim is answered at once; its claim is released later. */
  private CompletableFuture<Answer> claimInTime(
      CallContext context, Chain next, KeyedRequest request) {
    CompletableFuture<Answer> result = new CompletableFuture<>();
    context.lifecycle().askKey();
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
    return repeat(state);
  }

  private CompletableFuture<Answer> runClaimed(
      CallContext context, Chain next, KeyedRequest request) {
    return Futures.andThen(
        next.proceed(context),
        (answer, failure) ->
            failure == null ? keep(request, answer) : giveUp(context, request, failure));
  }

  private CompletableFuture<Answer> keep(KeyedRequest request, Answer answer) {
    if (answer instanceof Answer.Streamed streamed) {
      AnswerStream events = streamed.events();
      Futures.whenResult(events.ending(), ending -> note(request, events, ending));
      return CompletableFuture.completedFuture(answer);
    }
    return bounded(ledger.complete(request, stored((Answer.Whole) answer)))
        .thenApply(done -> answer);
  }

  private void note(KeyedRequest request, AnswerStream events, Ending ending) {
    if (ending.failure().isPresent()) {
      note(request, ledger.markUnknown(request));
      return;
    }
    StoredAnswer answer =
        events
            .transcript()
            .map(text -> new StoredAnswer(200, Answer.Streamed.CONTENT_TYPE, text))
            .orElseGet(ClaimFilter::withoutAnswer);
    note(request, ledger.complete(request, answer));
  }

  /** A note that fails leaves a repeat with an unknown outcome, which is true. */
  private void note(KeyedRequest request, CompletableFuture<Void> noted) {
    Futures.whenDone(
        noted,
        (done, failure) -> {
          if (failure != null) {
            log.record(
                EventType.REQUEST_FAILED,
                request.id().toString(),
                Map.of("key", request.key(), "failure", failure.type().number()));
          }
        });
  }

  private CompletableFuture<Answer> giveUp(
      CallContext context, KeyedRequest request, Failure failure) {
    CompletableFuture<Void> noted =
        context.lifecycle().isDispatched()
            ? ledger.markUnknown(request)
            : ledger.releaseNotRun(request);
    return bounded(noted).thenCompose(done -> Futures.failed(failure));
  }

  private static CompletableFuture<Answer> repeat(KeyState state) {
    if (state instanceof KeyState.Ran ran) {
      return CompletableFuture.completedFuture(replay(ran.answer()));
    }
    return CompletableFuture.failedFuture(refusal(state).toException());
  }

  private static Failure refusal(KeyState state) {
    if (state instanceof KeyState.InProgress) {
      return Failure.unknown(FailureType.IN_PROGRESS, "a call with this key is on its way")
          .withRetryAfter(RETRY_AFTER);
    }
    if (state instanceof KeyState.RanWithoutAnswer) {
      return Failure.ran(
          FailureType.ANSWER_NO_LONGER_HELD, "a call with this key ran; its answer is not held");
    }
    return Failure.unknown(
        FailureType.OUTCOME_UNKNOWN, "a call with this key may have run; none will run again");
  }

  private static Answer replay(StoredAnswer answer) {
    if (answer.contentType().startsWith(Answer.Streamed.CONTENT_TYPE)) {
      return Answer.streamed(AnswerStream.ofAll(answer.body()));
    }
    return Answer.whole(
        answer.status(), answer.contentType(), answer.body().getBytes(StandardCharsets.UTF_8), 0);
  }

  private static StoredAnswer stored(Answer.Whole answer) {
    String text = new String(answer.body(), StandardCharsets.UTF_8);
    boolean isText = Arrays.equals(text.getBytes(StandardCharsets.UTF_8), answer.body());
    return isText ? new StoredAnswer(answer.status(), answer.contentType(), text) : withoutAnswer();
  }

  /** What repeats get if the answer is too long to be kept, or not text. */
  private static StoredAnswer withoutAnswer() {
    Failure failure =
        Failure.ran(FailureType.ANSWER_NO_LONGER_HELD, "the call ran; its answer is not held");
    return new StoredAnswer(
        failure.type().status(),
        ProblemDocument.CONTENT_TYPE,
        ProblemText.document(failure, false));
  }

  /** Completes when the note is taken, fails, or takes too long for the caller to wait. */
  private CompletableFuture<Void> bounded(CompletableFuture<Void> noted) {
    CompletableFuture<Void> result = new CompletableFuture<>();
    TimerService.Subscription expiry = timer.after(LONGEST_NOTE, () -> result.complete(null));
    Futures.whenDone(
        noted,
        (done, failure) -> {
          expiry.cancel();
          result.complete(null);
        });
    return result;
  }

  private static CompletableFuture<Answer> refuseWithoutKey() {
    return CompletableFuture.failedFuture(
        Failure.notRun(FailureType.KEY_REQUIRED, "calls with effects need an idempotency key")
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

  /** Returns 128 bits of a hash, which travel in four messages a request. */
  static String fingerprint(CallerRequest request) {
    MessageDigest digest = TeamIndex.digest();
    digest.update(
        (request.method() + " " + request.pathAndQuery() + "\n").getBytes(StandardCharsets.UTF_8));
    byte[] hash = Arrays.copyOf(digest.digest(request.body()), FINGERPRINT_BYTES);
    return Base64.getUrlEncoder().withoutPadding().encodeToString(hash);
  }

  private static String nameOf(KeyState state) {
    return state.getClass().getSimpleName();
  }
}
