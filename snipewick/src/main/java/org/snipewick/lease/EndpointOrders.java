package org.snipewick.lease;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.snipewick.pool.EndpointStatus;

/** Sends orders to endpoints. */
@FunctionalInterface
public interface EndpointOrders {

  /**
   * Sends an order, unless the lease has lapsed when the order is about to leave this process.
   *
   * @param endpoint where to
   * @param order what to do
   * @param lease lease under which the order is given; its number goes with the order
   * @param timeout how long to wait for the answer
   * @return completes when accepted; fails with {@link
   *     org.snipewick.failure.FailureType#LEASE_NOT_HELD} if the lease lapsed before the order left
   *     or the endpoint has seen a higher number, or with {@link
   *     org.snipewick.failure.FailureType#NO_ENDPOINT}, with an outcome that tells whether the
   *     order may have taken effect
   */
  CompletableFuture<Void> send(
      EndpointStatus endpoint, EndpointOrder order, Lease lease, Duration timeout);
}
