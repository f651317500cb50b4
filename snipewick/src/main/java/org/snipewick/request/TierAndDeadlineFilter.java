package org.snipewick.request;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.snipewick.failure.Failure;
import org.snipewick.failure.FailureType;
import org.snipewick.identity.Tier;
import org.snipewick.time.TimerService;

/** Determines tier and deadline of a request, and abandons the call at its deadline. */
final class TierAndDeadlineFilter implements Filter {
  private final TimerService timer;

  private TierAndDeadlineFilter(TimerService timer) {
    this.timer = timer;
  }

  static TierAndDeadlineFilter of(TimerService timer) {
    return new TierAndDeadlineFilter(requireNonNull(timer, "timer"));
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
    CompletableFuture<Answer> answer =
        next.proceed(context.withTierAndDeadline(tier, deadlineNanos));
    Futures.whenDone(answer, (value, failure) -> Endings.whenEnded(value, expiry::cancel));
    return answer;
  }

  private static void expire(CallContext context, Duration timeout) {
    // The outcome not-run is later replaced by the one that follows from the state of the call,
    // see CallLifecycle.withOutcomeOfDispatch.
    context
        .lifecycle()
        .abandon(
            Failure.notRun(
                FailureType.DEADLINE_EXCEEDED,
                "request timed out after " + timeout.toMillis() + " ms"));
  }
}
