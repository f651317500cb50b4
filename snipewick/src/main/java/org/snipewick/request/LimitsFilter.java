package org.snipewick.request;

import static java.util.Objects.requireNonNull;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.snipewick.failure.Failure;
import org.snipewick.limits.TeamLimits;

/** Enforces the limits of teams: reserves tokens for a call, and settles the use at its end. */
final class LimitsFilter implements Filter {
  private final TeamLimits limits;

  private LimitsFilter(TeamLimits limits) {
    this.limits = limits;
  }

  static LimitsFilter of(TeamLimits limits) {
    return new LimitsFilter(requireNonNull(limits, "limits"));
  }

  @Override
  public CompletableFuture<Answer> apply(CallContext context, Chain next) {
    long reservedTokens = context.target().tokensToReserve();
    Optional<Failure> refusal = limits.tryAcquire(context.team(), reservedTokens);
    if (refusal.isPresent()) {
      return Futures.failed(refusal.get());
    }
    CompletableFuture<Answer> answer = next.proceed(context);
    Futures.whenDone(answer, (value, failure) -> release(context, reservedTokens, value));
    return answer;
  }

  private void release(CallContext context, long reservedTokens, Answer answer) {
    if (answer == null) {
      limits.release(context.team(), reservedTokens, usedTokens(context, 0));
      return;
    }
    Futures.whenResult(
        answer.ending(),
        ending ->
            limits.release(
                context.team(), reservedTokens, usedTokens(context, ending.outputTokens())));
  }

  /**
   * Returns the tokens that a call used: 0 if it was not dispatched, such as a duplicate request
   * answered from the ledger.
   */
  private static long usedTokens(CallContext context, int outputTokens) {
    return context.target() instanceof Target.Model model && context.lifecycle().isDispatched()
        ? (long) model.prompt().promptTokens() + outputTokens
        : 0;
  }
}
