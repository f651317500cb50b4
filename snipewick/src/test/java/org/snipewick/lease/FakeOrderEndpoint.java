package org.snipewick.lease;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.snipewick.failure.Failure;
import org.snipewick.failure.FailureType;
import org.snipewick.pool.EndpointStatus;
import org.snipewick.time.VirtualTimerService;

/** Endpoint that accepts orders after a delay and optionally checks fencing numbers. */
final class FakeOrderEndpoint implements OrderSender {
  final List<Long> acceptedFencingNumbers = new ArrayList<>();
  Duration delay = Duration.ZERO;
  private final VirtualTimerService timer;
  private final boolean checksFencing;
  private long highestFencingNumber;

  FakeOrderEndpoint(VirtualTimerService timer, boolean checksFencing) {
    this.timer = timer;
    this.checksFencing = checksFencing;
  }

  @Override
  public CompletableFuture<Void> send(
      EndpointStatus endpoint, EndpointOrder order, Lease lease, Duration timeout) {
    CompletableFuture<Void> result = new CompletableFuture<>();
    var unused = timer.after(delay, () -> accept(lease.fencing(), result));
    return result;
  }

  private void accept(long fencing, CompletableFuture<Void> result) {
    if (checksFencing && fencing < highestFencingNumber) {
      result.completeExceptionally(
          Failure.notRun(FailureType.LEASE_NOT_HELD, "stale fencing number").toException());
      return;
    }
    highestFencingNumber = Math.max(highestFencingNumber, fencing);
    acceptedFencingNumbers.add(fencing);
    result.complete(null);
  }
}
