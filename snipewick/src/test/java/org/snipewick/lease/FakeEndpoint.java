package org.snipewick.lease;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.snipewick.failure.Failure;
import org.snipewick.failure.FailureType;
import org.snipewick.pool.EndpointStatus;
import org.snipewick.time.VirtualTimerService;

/** Endpoint that takes orders after a delay and may or may not check fencing numbers. */
final class FakeEndpoint implements EndpointOrders {
  final List<Long> effects = new ArrayList<>();
  Duration delay = Duration.ZERO;
  private final VirtualTimerService timer;
  private final boolean checksFencing;
  private long highest;

  FakeEndpoint(VirtualTimerService timer, boolean checksFencing) {
    this.timer = timer;
    this.checksFencing = checksFencing;
  }

  @Override
  public CompletableFuture<Void> send(
      EndpointStatus endpoint, EndpointOrder order, Lease lease, Duration timeout) {
    CompletableFuture<Void> result = new CompletableFuture<>();
    var unused = timer.after(delay, () -> take(lease.fencing(), result));
    return result;
  }

  private void take(long fencing, CompletableFuture<Void> result) {
    if (checksFencing && fencing < highest) {
      result.completeExceptionally(
          Failure.notRun(FailureType.LEASE_NOT_HELD, "old fencing number").toException());
      return;
    }
    highest = Math.max(highest, fencing);
    effects.add(fencing);
    result.complete(null);
  }
}
