package org.snipewick.relay;

import static java.util.Objects.requireNonNull;

import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.snipewick.failure.Failure;
import org.snipewick.failure.FailureType;
import org.snipewick.quota.TeamQuotas;
import org.snipewick.route.TeamPlan;
import org.snipewick.time.TimerService;

/** Refuses requests of a team that exceed its quota. */
final class QuotaFilter implements RelayFilter {
  private final TeamQuotas quotas;
  private final TimerService timer;

  QuotaFilter(TeamQuotas quotas, TimerService timer) {
    this.timer = requireNonNull(timer, "timer");
    this.quotas = requireNonNull(quotas, "quotas");
  }

  @Override
  public Promise<HttpResponse> apply(RelayCall call, Next next) {
    Optional<TeamPlan> team = call.team();
    if (team.isEmpty() || !team.get().quota().isLimited()) {
      return next.handle(call);
    }
    double cost = team.get().quota().cost(call.request().tokens());
    CompletableFuture<Optional<Duration>> spent = quotas.spend(team.get(), cost);
    if (spent.isDone()) {
      return proceed(call, next, cost, spent.join());
    }
    SettablePromise<Optional<Duration>> granted = new SettablePromise<>();
    CompletableFuture<Void> unused = spent.thenAccept(granted::set);
    return granted.then(refusedFor -> proceed(call, next, cost, refusedFor));
  }

  private Promise<HttpResponse> proceed(
      RelayCall call, Next next, double cost, Optional<Duration> refusedFor) {
    if (refusedFor.isPresent()) {
      return Promise.ofException(
          Failure.notRun(FailureType.LIMIT_EXCEEDED, "quota of the team is exhausted")
              .withRetryAfter(refusedFor.get())
              .toException());
    }
    if (call.isFinished()) {
      return call.response();
    }
    call.setQuotaCharge(new QuotaCharge(cost, timer.nanoTime()));
    return next.handle(call);
  }
}
