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
 * Finds the team of a caller by its API key. Refuses all keys while the last proof that the routing
 * plan is current is too old, since any of them may have been revoked.
 */
final class ApiKeyFilter implements RelayFilter {
  /** During an outage, the store is queried at least twice a second. */
  private static final Duration RETRY_AFTER_WITHOUT_PROOF = Duration.ofMillis(500);

  private final PlanController plans;
  private final HeaderNames headerNames;

  ApiKeyFilter(PlanController plans, HeaderNames headerNames) {
    this.plans = requireNonNull(plans, "plans");
    this.headerNames = requireNonNull(headerNames, "headerNames");
  }

  @Override
  public Promise<HttpResponse> apply(RelayCall call, Next next) {
    if (!call.plan().needsKey(call.route())) {
      return next.handle(call);
    }
    if (!plans.hasFreshProof()) {
      return Promise.ofException(planNotProven(plans).toException());
    }
    Headers headers = call.request().headers();
    Optional<TeamPlan> team =
        headers.isRepeated(headerNames.apiKey())
            ? Optional.empty()
            : headers.first(headerNames.apiKey()).flatMap(call.plan()::teamOf);
    if (team.isEmpty()) {
      return Promise.ofException(
          Failure.notRun(FailureType.UNAUTHENTICATED, "API key is missing or unknown")
              .toException());
    }
    call.setTeam(team.get());
    return next.handle(call);
  }

  /** Returns the failure of a request whose API key may have been revoked since the last proof. */
  static Failure planNotProven(PlanController plans) {
    return Failure.notRun(
            FailureType.PLATFORM_UNAVAILABLE,
            "API keys cannot be checked: routing plan was last proved current "
                + plans.proofAgeMillis()
                + " ms ago")
        .withRetryAfter(RETRY_AFTER_WITHOUT_PROOF);
  }
}
