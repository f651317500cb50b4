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

/** Finds the route of a request; refuses requests without a route or with too large a body. */
final class RouteFilter implements RelayFilter {
  /** While the store responds, a plan is read within a second after the start. */
  private static final Duration RETRY_AFTER_WITHOUT_PLAN = Duration.ofMillis(500);

  private final PlanController plans;

  RouteFilter(PlanController plans) {
    this.plans = requireNonNull(plans, "plans");
  }

  @Override
  public Promise<HttpResponse> apply(RelayCall call, Next next) {
    Optional<RoutingPlan> plan = plans.current();
    if (plan.isEmpty()) {
      return Promise.ofException(
          Failure.notRun(FailureType.PLATFORM_UNAVAILABLE, "no routing plan has been read yet")
              .withRetryAfter(RETRY_AFTER_WITHOUT_PLAN)
              .toException());
    }
    Optional<Route> route = plan.get().routes().find(call.request().host(), call.request().path());
    if (route.isEmpty()) {
      return Promise.ofException(
          Failure.notRun(FailureType.NOT_FOUND, "no route matches host and path").toException());
    }
    if (call.request().exceedsBodyLimit(plan.get())) {
      return Promise.ofException(
          Failure.notRun(FailureType.REQUEST_TOO_LARGE, "body exceeds the size limit")
              .toException());
    }
    call.setRoute(plan.get(), route.get());
    return next.handle(call);
  }
}
