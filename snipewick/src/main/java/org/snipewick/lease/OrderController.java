package org.snipewick.lease;

import static java.util.Objects.requireNonNull;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import org.snipewick.event.EventLog;
import org.snipewick.event.EventType;
import org.snipewick.failure.Failure;
import org.snipewick.failure.FailureType;
import org.snipewick.pool.EndpointStatus;

/** Gives orders to endpoints while this process holds the lease of their pool. */
public final class OrderController {
  private static final String DUTY = "orders.";

  private final ConcurrentMap<String, CompletableFuture<Void>> underWay = new ConcurrentHashMap<>();
  private final LeaseController leases;
  private final EndpointOrders orders;
  private final EventLog events;
  private final LeaseSettings settings;

  private OrderController(
      LeaseController leases, EndpointOrders orders, EventLog events, LeaseSettings settings) {
    this.leases = requireNonNull(leases, "leases");
    this.orders = requireNonNull(orders, "orders");
    this.events = requireNonNull(events, "events");
    this.settings = requireNonNull(settings, "settings");
  }

  /**
   * Creates the controller of a process.
   *
   * @param leases leases of this process
   * @param orders sends orders
   * @param events event log
   * @param settings times of leases
   * @return controller
   */
  public static OrderController of(
      LeaseController leases, EndpointOrders orders, EventLog events, LeaseSettings settings) {
    return new OrderController(leases, orders, events, settings);
  }

  /**
   * Wants the right to give orders to the endpoints of a pool.
   *
   * @param pool name of the pool; all orders to an endpoint belong to one pool
   */
  public void want(String pool) {
    leases.want(DUTY + pool);
  }

  /**
   * Sends an order, if the lease is held at this very moment.
   *
   * @param pool name of the pool
   * @param endpoint where to
   * @param order what to do
   * @return completes when accepted; fails with {@link FailureType#LEASE_NOT_HELD} without an order
   *     sent, or as {@link EndpointOrders#send}
   */
  public CompletableFuture<Void> order(String pool, EndpointStatus endpoint, EndpointOrder order) {
    requireNonNull(endpoint, "endpoint");
    requireNonNull(order, "order");
    Optional<Lease> lease = leases.held(DUTY + pool);
    Optional<Failure> refusal = lease.map(Lease::check).orElseGet(() -> Optional.of(notHeld(pool)));
    if (refusal.isPresent()) {
      return CompletableFuture.failedFuture(refusal.get().toException());
    }
    long fencing = lease.get().fencing();
    CompletableFuture<Void> sent =
        orders.send(endpoint, order, lease.get(), settings.longestOrder());
    underWay.merge(pool, sent, OrderController::both);
    events.record(
        EventType.ORDER_SENT,
        endpoint.id().value(),
        Map.of("order", order.kind().text(), "argument", order.argument(), "fencing", fencing));
    return sent;
  }

  /**
   * Gives the right to give orders up, once all orders under way have ended.
   *
   * @param pool name of the pool
   * @return completes when it was tried
   */
  public CompletableFuture<Void> giveUp(String pool) {
    CompletableFuture<Void> last =
        underWay.getOrDefault(pool, CompletableFuture.completedFuture(null));
    return last.handle((done, failure) -> null).thenCompose(done -> leases.giveUp(DUTY + pool));
  }

  private static CompletableFuture<Void> both(
      CompletableFuture<Void> earlier, CompletableFuture<Void> later) {
    return earlier.isDone() ? later : CompletableFuture.allOf(earlier, later);
  }

  private static Failure notHeld(String pool) {
    return Failure.notRun(FailureType.LEASE_NOT_HELD, "orders to " + pool + " are not held");
  }
}
