package org.snipewick.request;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.snipewick.failure.Failure;
import org.snipewick.failure.FailureType;
import org.snipewick.identity.Tier;
import org.snipewick.time.TimerService;

/** Decides class and deadline of a request, and gives it up when the agreed time has passed. */
final class AgreementFilter implements Filter {
  private final TimerService timer;

  private AgreementFilter(TimerService timer) {
    this.timer = timer;
  }

  static AgreementFilter of(TimerService timer) {
    return new AgreementFilter(requireNonNull(timer, "timer"));
  }

  @Override
  public CompletableFuture<Answer> apply(CallContext context, Chain next) {
    Tier tier =
        CallerHeaders.tier(
            context.request(), context.teamEntry().tier(), context.target().entry().tier());
    Duration timeout =
        CallerHeaders.timeout(context.request(), context.target().defaultTimeoutMillis());
    long deadlineNanos = context.receivedNanos() + timeout.toNanos();
    context.lifecycle().setTier(tier);
    long remainingNanos = Math.max(0, deadlineNanos - timer.nanoTime());
    TimerService.Subscription expiry =
        timer.after(Duration.ofNanos(remainingNanos), () -> expire(context, timeout));
    CompletableFuture<Answer> answer = next.proceed(context.withAgreement(tier, deadlineNanos));
    Futures.whenDone(answer, (value, failure) -> Endings.whenEnded(value, expiry::cancel));
    return answer;
  }

  private static void expire(CallContext context, Duration timeout) {
    context
        .lifecycle()
        .abandon(
            Failure.notRun(
                FailureType.DEADLINE_EXCEEDED,
                "agreed time of " + timeout.toMillis() + " ms has passed"));
  }
}
