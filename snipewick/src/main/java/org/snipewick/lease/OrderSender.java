package org.snipewick.lease;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.snipewick.pool.EndpointStatus;

/** Sends orders to endpoints. */
@FunctionalInterface
public interface OrderSender {

  /**
   * Sends an order if the lease has not expired at the moment at which the order is sent.
   *
   * @param endpoint receiver of the order
   * @param order what to do
   * @param lease lease under which the order is sent; its fencing number is sent with the order
   * @param timeout how long to wait for the answer
   * @return completes when the endpoint has accepted the order; fails with {@link
   *     org.snipewick.failure.FailureType#LEASE_NOT_HELD} if the lease expired before the order was
   *     sent or the endpoint has received a higher fencing number, or with {@link
   *     org.snipewick.failure.FailureType#NO_ENDPOINT}, with an outcome that shows whether the
   *     order may have taken effect
   */
  CompletableFuture<Void> send(
      EndpointStatus endpoint, EndpointOrder order, Lease lease, Duration timeout);
}
