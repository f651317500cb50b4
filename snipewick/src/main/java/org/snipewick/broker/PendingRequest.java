package org.snipewick.broker;

import static java.util.Objects.requireNonNull;

import org.snipewick.identity.PoolName;
import org.snipewick.placement.PlacementListener;
import org.snipewick.placement.WaitingRequest;
import org.snipewick.time.TimerService;

/** Request that a broker was asked to place and has not decided about. Not thread-safe. */
final class PendingRequest {
  private final long id;
  private final PoolName pool;
  private final WaitingRequest request;
  private final PlacementListener listener;
  private TimerService.Subscription replyTimer = () -> {};

  PendingRequest(long id, PoolName pool, WaitingRequest request, PlacementListener listener) {
    this.id = id;
    this.pool = requireNonNull(pool, "pool");
    this.request = requireNonNull(request, "request");
    this.listener = requireNonNull(listener, "listener");
  }

  long id() {
    return id;
  }

  PoolName pool() {
    return pool;
  }

  WaitingRequest request() {
    return request;
  }

  PlacementListener listener() {
    return listener;
  }

  /** Sets the timer that ends the wait for a reply. */
  void setReplyTimer(TimerService.Subscription timer) {
    replyTimer = requireNonNull(timer, "timer");
  }

  /** Records that the broker has replied, or that its reply is no longer awaited. */
  void stopReplyTimer() {
    replyTimer.cancel();
  }
}
