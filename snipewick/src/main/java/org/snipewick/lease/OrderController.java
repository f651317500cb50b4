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

/** Sends orders to endpoints while this process holds the lease of their pool. Thread-safe. */
public final class OrderController {
  private static final String LEASE_PREFIX = "orders.";

  private final ConcurrentMap<String, CompletableFuture<Void>> inFlight = new ConcurrentHashMap<>();
  private final LeaseController leases;
  private final OrderSender sender;
  private final EventLog events;
  private final LeaseSettings settings;

  private OrderController(
      LeaseController leases, OrderSender sender, EventLog events, LeaseSettings settings) {
    this.leases = requireNonNull(leases, "leases");
    this.sender = requireNonNull(sender, "sender");
    this.events = requireNonNull(events, "events");
    this.settings = requireNonNull(settings, "settings");
  }

  /**
   * Creates the controller of a process.
   *
   * @param leases leases of this process
   * @param sender sender of orders
   * @param events event log
   * @param settings durations of leases and of orders
   * @return controller
   */
  public static OrderController of(
      LeaseController leases, OrderSender sender, EventLog events, LeaseSettings settings) {
    return new OrderController(leases, sender, events, settings);
  }

  /**
   * Starts acquiring the lease under which orders are sent to the endpoints of a pool.
   *
   * @param pool name of the pool, the same for all orders to an endpoint
   */
  public void acquire(String pool) {
    leases.acquire(LEASE_PREFIX + pool);
  }

  /**
   * Sends an order if this process holds the pool's lease at the moment of the call.
   *
   * @param pool name of the pool
   * @param endpoint receiver of the order
   * @param order what to do
   * @return completes when the endpoint has accepted the order; fails with {@link
   *     FailureType#LEASE_NOT_HELD} if the lease is not held, or as {@link OrderSender#send}
   */
  public CompletableFuture<Void> send(String pool, EndpointStatus endpoint, EndpointOrder order) {
    requireNonNull(endpoint, "endpoint");
    requireNonNull(order, "order");
    Optional<Lease> lease = leases.held(LEASE_PREFIX + pool);
    Optional<Failure> refusal = lease.map(Lease::check).orElseGet(() -> Optional.of(notHeld(pool)));
    if (refusal.isPresent()) {
      return CompletableFuture.failedFuture(refusal.get().toException());
    }
    long fencing = lease.get().fencing();
    CompletableFuture<Void> sent =
        sender.send(endpoint, order, lease.get(), settings.maxOrderDuration());
    inFlight.merge(pool, sent, OrderController::allOf);
    events.record(
        EventType.ORDER_SENT,
        endpoint.id().value(),
        Map.of("order", order.kind().text(), "argument", order.argument(), "fencing", fencing));
    return sent;
  }

  /**
   * Releases the lease of a pool once all orders in flight have ended.
   *
   * @param pool name of the pool
   * @return completes after the attempt and never fails
   */
  public CompletableFuture<Void> release(String pool) {
    CompletableFuture<Void> pending =
        inFlight.getOrDefault(pool, CompletableFuture.completedFuture(null));
    return pending
        .handle((done, failure) -> null)
        .thenCompose(done -> leases.release(LEASE_PREFIX + pool));
  }

  private static CompletableFuture<Void> allOf(
      CompletableFuture<Void> earlier, CompletableFuture<Void> later) {
    return earlier.isDone() ? later : CompletableFuture.allOf(earlier, later);
  }

  private static Failure notHeld(String pool) {
    return Failure.notRun(
        FailureType.LEASE_NOT_HELD, "lease for orders to pool " + pool + " is not held");
  }
}
