package org.snipewick.request;

import static java.util.Objects.requireNonNull;

import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * Processes callers' requests by chains of filters: one for calls to endpoints, one for queries.
 */
public final class RequestPipeline {
  private final Chain calls;
  private final Chain queries;

  private RequestPipeline(Chain calls, Chain queries) {
    this.calls = calls;
    this.queries = queries;
  }

  /**
   * Returns the request processing of an instance.
   *
   * @param services services of the instance that the filters use
   * @param inFlight counter of the calls in flight
   * @return request processing
   */
  public static RequestPipeline of(RequestServices services, InFlight inFlight) {
    requireNonNull(services, "services");
    requireNonNull(inFlight, "inFlight");
    AuthenticateFilter authenticate = AuthenticateFilter.of(TeamIndex.of(services.catalogue()));
    return new RequestPipeline(
        Chain.ofAll(callFilters(services, inFlight, authenticate)),
        Chain.ofAll(
            List.of(authenticate, QueryFilter.of(services.catalogue(), services.ledger()))));
  }

  /**
   * Processes a call.
   *
   * @param context call as it was received
   * @return future with the answer; fails with a {@link org.snipewick.failure.FailureException}
   */
  public CompletableFuture<Answer> serve(CallContext context) {
    requireNonNull(context, "context");
    Chain chain = QueryFilter.handles(context.request()) ? queries : calls;
    return chain.proceed(context);
  }

  private static List<Filter> callFilters(
      RequestServices services, InFlight inFlight, AuthenticateFilter authenticate) {
    RequestMetrics metrics = RequestMetrics.of(services.metrics(), inFlight);
    return List.of(
        TelemetryFilter.of(metrics, services.timer(), services.log()),
        InFlightFilter.of(inFlight),
        authenticate,
        TargetFilter.of(services.catalogue()),
        TierAndDeadlineFilter.of(services.timer()),
        LimitsFilter.of(services.limits()),
        ClaimFilter.of(services.ledger(), services.timer(), services.log()),
        AdmitFilter.of(services.pool(), RetryBudget.create(), services.timer(), services.log()),
        DispatchFilter.of(services.timer(), services.log()));
  }
}
