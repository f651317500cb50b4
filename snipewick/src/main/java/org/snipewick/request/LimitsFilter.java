package org.snipewick.request;

import static java.util.Objects.requireNonNull;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.snipewick.failure.Failure;
import org.snipewick.limits.TeamLimits;

/** Holds teams to their limits. */
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
    long reserved = context.target().tokens();
    Optional<Failure> refusal = limits.tryAcquire(context.team(), reserved);
    if (refusal.isPresent()) {
      return Futures.failed(refusal.get());
    }
    CompletableFuture<Answer> answer = next.proceed(context);
    Futures.whenDone(answer, (value, failure) -> release(context, reserved, value));
    return answer;
  }

  private void release(CallContext context, long reserved, Answer answer) {
    if (answer == null) {
      limits.release(context.team(), reserved, used(context, 0));
      return;
    }
    Futures.whenResult(
        answer.ending(),
        ending -> limits.release(context.team(), reserved, used(context, ending.outputTokens())));
  }

  /** A call that was not dispatched, such as a repeat answered from memory, used nothing. */
  private static long used(CallContext context, int outputTokens) {
    return context.target() instanceof Target.Model model && context.lifecycle().isDispatched()
        ? (long) model.prompt().promptTokens() + outputTokens
        : 0;
  }
}
