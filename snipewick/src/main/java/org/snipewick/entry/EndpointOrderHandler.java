package org.snipewick.entry;

import static org.snipewick.admin.AdminRoute.forOperators;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import org.snipewick.admin.AdminRequest;
import org.snipewick.admin.AdminResponse;
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
import org.snipewick.lease.http.HttpOrderSender;
import org.snipewick.pool.EndpointStatus;
import org.snipewick.store.WeightStore;
import org.snipewick.time.TimerService;

/**
 * Handles operators' orders to endpoints, which are sent under the lease of the endpoint's pool.
 *
 * @param leases leases of this process
 * @param orders sends orders while the lease is held
 * @param statuses endpoints of the local failure domain
 * @param weights store of model weights
 * @param timer source of time
 */
record EndpointOrderHandler(
    LeaseController leases,
    OrderController orders,
    EndpointStatuses statuses,
    WeightStore weights,
    TimerService timer) {
  private static final Duration RETRY_DELAY = Duration.ofMillis(250);

  /** Attempts of an order while its lease is not held, {@link #RETRY_DELAY} apart. */
  private static final int MAX_ATTEMPTS = 12;

  static EndpointOrderHandler start(SharedComponents components, EndpointStatuses statuses) {
    LeaseSettings settings = LeaseSettings.defaults();
    LeaseController leases =
        LeaseController.start(
            components.platform().table(),
            components.settings().instance(),
            components.incarnation(),
            components.timer(),
            components.timeline(),
            settings);
    OrderController orders =
        OrderController.of(
            leases,
            HttpOrderSender.of(Scheduling.startEventloop("orders")),
            components.timeline(),
            settings);
    return new EndpointOrderHandler(
        leases, orders, statuses, components.platform().weights(), components.timer());
  }

  AdminRoute route() {
    return forOperators("POST", "/admin/pools/:pool/endpoints/:endpoint/orders", this::handle);
  }

  private CompletableFuture<AdminResponse> handle(AdminRequest request) {
    PoolName pool = parseName(PoolName::of, request.parameters().get("pool"));
    EndpointId endpoint = parseName(EndpointId::of, request.parameters().get("endpoint"));
    EndpointOrder order = parseOrder(request.json());
    return statuses
        .find(pool, endpoint)
        .map(
            status ->
                checkWeightsExist(order)
                    .thenCompose(checked -> sendUnderLease(pool.value(), status, order)))
        .orElseGet(
            () ->
                notFound(
                    "no endpoint "
                        + endpoint
                        + " of pool "
                        + pool
                        + " in the local failure domain"));
  }

  /**
   * Fails if an order is to load weights that do not exist, so that no endpoint uses up the store's
   * low read rate by requesting them.
   */
  private CompletableFuture<Void> checkWeightsExist(EndpointOrder order) {
    if (order.kind() != EndpointOrder.Kind.LOAD) {
      return CompletableFuture.completedFuture(null);
    }
    return weights
        .contains(order.argument())
        .thenCompose(
            exists ->
                exists
                    ? CompletableFuture.completedFuture(null)
                    : notFound("the store has no weights named " + order.argument()));
  }

  private static <T> CompletableFuture<T> notFound(String detail) {
    return CompletableFuture.failedFuture(
        Failure.notRun(FailureType.NOT_FOUND, detail).toException());
  }

  private CompletableFuture<AdminResponse> sendUnderLease(
      String pool, EndpointStatus endpoint, EndpointOrder order) {
    CompletableFuture<Void> result = new CompletableFuture<>();
    sendOrRetry(pool, endpoint, order, MAX_ATTEMPTS, result);
    return result
        .thenApply(done -> AdminResponse.json(Map.of("endpoint", endpoint.id(), "accepted", true)))
        .whenComplete((response, failure) -> orders.release(pool));
  }

  /** Starts acquiring the pool's lease and sends the order; retries while the lease is not held. */
  private void sendOrRetry(
      String pool,
      EndpointStatus endpoint,
      EndpointOrder order,
      int attemptsLeft,
      CompletableFuture<Void> result) {
    orders.acquire(pool);
    CompletableFuture<Void> unused =
        orders
            .send(pool, endpoint, order)
            .handle(
                (done, thrown) -> {
                  if (thrown == null) {
                    result.complete(null);
                  } else if (attemptsLeft > 1 && isLeaseNotHeld(thrown)) {
                    timer.after(
                        RETRY_DELAY,
                        () -> sendOrRetry(pool, endpoint, order, attemptsLeft - 1, result));
                  } else {
                    result.completeExceptionally(thrown);
                  }
                  return null;
                });
  }

  private static boolean isLeaseNotHeld(Throwable thrown) {
    return FailureException.unwrap(thrown).type() == FailureType.LEASE_NOT_HELD;
  }

  private static <T> T parseName(Function<String, T> parser, String text) {
    try {
      return parser.apply(text);
    } catch (IllegalArgumentException malformed) {
      throw malformed(malformed.getMessage());
    }
  }

  private static EndpointOrder parseOrder(JsonNode body) {
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
