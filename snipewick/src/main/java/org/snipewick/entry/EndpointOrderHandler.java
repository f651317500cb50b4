package org.snipewick.entry;

import static org.snipewick.admin.AdminRoute.forOperators;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import org.snipewick.admin.AdminAnswer;
import org.snipewick.admin.AdminRequest;
import org.snipewick.admin.AdminRoute;
import org.snipewick.discovery.EndpointStatuses;
import org.snipewick.failure.Failure;
import org.snipewick.failure.FailureException;
import org.snipewick.failure.FailureType;
import org.snipewick.identity.EndpointId;
import org.snipewick.identity.PoolName;
import org.snipewick.lease.EndpointOrder;
import org.snipewick.lease.LeaseController;
import org.snipewick.lease.LeaseSettings;
import org.snipewick.lease.OrderController;
import org.snipewick.lease.http.HttpEndpointOrders;
import org.snipewick.pool.EndpointStatus;
import org.snipewick.store.WeightStore;
import org.snipewick.time.TimerService;

/**
 * Orders of operators to endpoints, given under the lease of their pool.
 *
 * @param leases leases of this process
 * @param orders sends orders while the lease is held
 * @param statuses endpoints of the own domain
 * @param weights tells whether what is to be loaded exists
 * @param timer source of time
 */
record OrderDuties(
    LeaseController leases,
    OrderController orders,
    EndpointStatuses statuses,
    WeightStore weights,
    TimerService timer) {
  private static final Duration RETRY_PERIOD = Duration.ofMillis(250);
  private static final int MAX_TRIES = 12;

  static OrderDuties start(Foundation foundation, EndpointStatuses statuses) {
    LeaseSettings settings = LeaseSettings.defaults();
    LeaseController leases =
        LeaseController.start(
            foundation.platform().table(),
            foundation.settings().instance(),
            foundation.incarnation(),
            foundation.timer(),
            foundation.timeline(),
            settings);
    OrderController orders =
        OrderController.of(
            leases,
            HttpEndpointOrders.of(Scheduling.eventloop("orders")),
            foundation.timeline(),
            settings);
    return new OrderDuties(
        leases, orders, statuses, foundation.platform().weights(), foundation.timer());
  }

  AdminRoute route() {
    return forOperators("POST", "/admin/pools/:pool/endpoints/:endpoint/orders", this::handle);
  }

  private CompletableFuture<AdminAnswer> handle(AdminRequest request) {
    PoolName pool = named(PoolName::of, request.parameters().get("pool"));
    EndpointId endpoint = named(EndpointId::of, request.parameters().get("endpoint"));
    EndpointOrder order = parse(request.json());
    return statuses
        .find(pool, endpoint)
        .map(status -> check(order).thenCompose(known -> send(pool.value(), status, order)))
        .orElseGet(() -> notFound("no endpoint " + endpoint + " of pool " + pool + " here"));
  }

  /** Refuses to load what does not exist, before an endpoint spends the store's rate on it. */
  private CompletableFuture<Void> check(EndpointOrder order) {
    if (order.kind() != EndpointOrder.Kind.LOAD) {
      return CompletableFuture.completedFuture(null);
    }
    return weights
        .contains(order.argument())
        .thenCompose(
            known ->
                known
                    ? CompletableFuture.completedFuture(null)
                    : notFound("no weights of " + order.argument()));
  }

  private static <T> CompletableFuture<T> notFound(String detail) {
    return CompletableFuture.failedFuture(
        Failure.notRun(FailureType.NOT_FOUND, detail).toException());
  }

  private CompletableFuture<AdminAnswer> send(
      String pool, EndpointStatus endpoint, EndpointOrder order) {
    CompletableFuture<Void> result = new CompletableFuture<>();
    attempt(pool, endpoint, order, MAX_TRIES, result);
    return result
        .thenApply(done -> AdminAnswer.json(Map.of("endpoint", endpoint.id(), "accepted", true)))
        .whenComplete((answer, failure) -> orders.giveUp(pool));
  }

  private void attempt(
      String pool,
      EndpointStatus endpoint,
      EndpointOrder order,
      int triesLeft,
      CompletableFuture<Void> result) {
    orders.want(pool);
    CompletableFuture<Void> unused =
        orders
            .order(pool, endpoint, order)
            .handle(
                (done, thrown) -> {
                  if (thrown == null) {
                    result.complete(null);
                  } else if (triesLeft > 1 && isNotHeld(thrown)) {
                    timer.after(
                        RETRY_PERIOD, () -> attempt(pool, endpoint, order, triesLeft - 1, result));
                  } else {
                    result.completeExceptionally(thrown);
                  }
                  return null;
                });
  }

  private static boolean isNotHeld(Throwable thrown) {
    return FailureException.unwrap(thrown).type() == FailureType.LEASE_NOT_HELD;
  }

  private static <T> T named(Function<String, T> parser, String text) {
    try {
      return parser.apply(text);
    } catch (IllegalArgumentException malformed) {
      throw malformed(malformed.getMessage());
    }
  }

  private static EndpointOrder parse(JsonNode body) {
    String kind = body.path("order").asText().toUpperCase(Locale.ROOT);
    String argument = body.path("argument").asText();
    if (argument.isBlank()) {
      throw malformed("argument must name what to load or unload, or the role");
    }
    try {
      return EndpointOrder.of(EndpointOrder.Kind.valueOf(kind), argument);
    } catch (IllegalArgumentException unknown) {
      throw malformed("order must be load, unload or role");
    }
  }

  private static FailureException malformed(String detail) {
    return Failure.notRun(FailureType.MALFORMED_REQUEST, detail).toException();
  }
}
