package org.snipewick.relay;

import static java.util.Objects.requireNonNull;

import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import java.time.Duration;
import java.util.Optional;
import org.snipewick.failure.Failure;
import org.snipewick.failure.FailureType;
import org.snipewick.route.PlanController;
import org.snipewick.route.TeamPlan;

/**
 * Finds the team of a caller by its key. As a key may have been taken away, no key is honoured
 * while the plan has not been proved to be the newest for too long.
 */
final class KeyFilter implements RelayFilter {
  /** The store is asked again at least twice a second during an outage. */
  private static final Duration RETRY_WITHOUT_PROOF = Duration.ofMillis(500);

  private final PlanController plans;
  private final HeaderNames names;

  KeyFilter(PlanController plans, HeaderNames names) {
    this.plans = requireNonNull(plans, "plans");
    this.names = requireNonNull(names, "names");
  }

  @Override
  public Promise<HttpResponse> apply(RelayCall call, Next next) {
    if (!call.plan().needsKey(call.route())) {
      return next.handle(call);
    }
    if (!plans.isProven()) {
      return Promise.ofException(notProven(plans).toException());
    }
    Headers headers = call.request().headers();
    Optional<TeamPlan> team =
        headers.isRepeated(names.key())
            ? Optional.empty()
            : headers.first(names.key()).flatMap(call.plan()::teamOf);
    if (team.isEmpty()) {
      return Promise.ofException(
          Failure.notRun(FailureType.UNAUTHENTICATED, "key is missing or unknown").toException());
    }
    call.authenticated(team.get());
    return next.handle(call);
  }

  /** Returns the refusal of a request whose key may have been taken away meanwhile. */
  static Failure notProven(PlanController plans) {
    return Failure.notRun(
            FailureType.PLATFORM_UNAVAILABLE,
            "keys cannot be checked: plan last proved " + plans.proofAgeMillis() + " ms ago")
        .withRetryAfter(RETRY_WITHOUT_PROOF);
  }
}
