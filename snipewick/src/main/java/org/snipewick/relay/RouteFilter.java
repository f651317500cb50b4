package org.snipewick.relay;

import static java.util.Objects.requireNonNull;

import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import java.time.Duration;
import java.util.Optional;
import org.snipewick.failure.Failure;
import org.snipewick.failure.FailureType;
import org.snipewick.route.PlanController;
import org.snipewick.route.Route;
import org.snipewick.route.RoutingPlan;

/** Finds the route of a request by the plan in force. */
final class RouteFilter implements RelayFilter {
  /** A plan is read within a second of the start as long as the store answers. */
  private static final Duration RETRY_WITHOUT_PLAN = Duration.ofMillis(500);

  private final PlanController plans;

  RouteFilter(PlanController plans) {
    this.plans = requireNonNull(plans, "plans");
  }

  @Override
  public Promise<HttpResponse> apply(RelayCall call, Next next) {
    Optional<RoutingPlan> plan = plans.current();
    if (plan.isEmpty()) {
      return Promise.ofException(
          Failure.notRun(FailureType.PLATFORM_UNAVAILABLE, "no routing plan is known yet")
              .withRetryAfter(RETRY_WITHOUT_PLAN)
              .toException());
    }
    Optional<Route> route = plan.get().routes().find(call.request().host(), call.request().path());
    if (route.isEmpty()) {
      return Promise.ofException(
          Failure.notRun(FailureType.NOT_FOUND, "no route leads there").toException());
    }
    if (call.request().exceeds(plan.get())) {
      return Promise.ofException(
          Failure.notRun(FailureType.REQUEST_TOO_LARGE, "body is too long").toException());
    }
    call.routed(plan.get(), route.get());
    return next.handle(call);
  }
}
