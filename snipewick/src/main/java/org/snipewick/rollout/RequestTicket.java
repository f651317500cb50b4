package org.snipewick.rollout;

import static java.util.Objects.requireNonNull;

import java.util.Optional;
import org.snipewick.placement.EndpointFilter;
import org.snipewick.registry.RegisteredEndpoint;

/** One attempt of a request. */
final class RequestTicket implements RequestVersion {
  /**
   * Time after an endpoint was first seen, or after the order, for which its durations say nothing:
   * a process that has just started is slower.
   */
  private static final long COLD_START_NANOS = 2_000_000_000L;

  private final PoolTraffic pool;
  private final OrderTraffic traffic;
  private final String route;
  private final boolean isNew;
  private final EndpointFilter filter;
  private final long chosenNanos;
  private Optional<OrderTraffic.Pending> pending = Optional.empty();
  private Optional<OrderTraffic.Counters> counters = Optional.empty();
  private OrderTraffic observed;
  private long startedNanos;
  private boolean isCold;
  private boolean isCounted;
  private boolean hasEnded;

  /**
   * Creates a ticket.
   *
   * @param pool traffic of the pool, which is notified when the attempt ends
   * @param traffic counts of the order at the time of the choice
   * @param route name of the request's route
   * @param isNew whether the new version was chosen
   * @param filter endpoints that the request may be sent to
   * @param nowNanos monotonic time, in nanoseconds
   */
  RequestTicket(
      PoolTraffic pool,
      OrderTraffic traffic,
      String route,
      boolean isNew,
      EndpointFilter filter,
      long nowNanos) {
    this.pool = requireNonNull(pool, "pool");
    this.traffic = requireNonNull(traffic, "traffic");
    this.route = requireNonNull(route, "route");
    this.isNew = isNew;
    this.filter = requireNonNull(filter, "filter");
    this.chosenNanos = nowNanos;
    this.observed = traffic;
  }

  long orderId() {
    return traffic.id();
  }

  boolean isNew() {
    return isNew;
  }

  @Override
  public EndpointFilter filter() {
    return filter;
  }

  @Override
  public boolean isHeld() {
    return false;
  }

  @Override
  public void started(RegisteredEndpoint endpoint, long nowNanos) {
    if (hasEnded || !pool.isObserving()) {
      return;
    }
    startedNanos = nowNanos;
    boolean isTargeted = pool.isTarget(endpoint);
    isCold = isTargeted && nowNanos - pool.seenNanos(endpoint) < COLD_START_NANOS;
    observed = pool.traffic();
    counters =
        Optional.of(
            isTargeted ? observed.fresh(endpoint.id().value(), route) : observed.old(route));
    if (!isCold) {
      pending = Optional.of(new OrderTraffic.Pending(counters.get(), nowNanos, this));
      observed.add(pending.get());
    }
  }

  @Override
  public void responded(long nowNanos) {
    removePending();
    if (counters.isPresent() && !isCounted) {
      count();
      if (!isCold) {
        counters.get().addTime(nowNanos - startedNanos);
      }
    }
  }

  @Override
  public void spaced(double nanosPerEvent) {
    if (!isCold) {
      counters.ifPresent(found -> found.addGap(nanosPerEvent));
    }
  }

  @Override
  public void failed() {
    removePending();
    if (counters.isPresent()) {
      count();
      counters.get().addFailure();
      counters = Optional.empty();
    }
  }

  private void count() {
    if (!isCounted) {
      isCounted = true;
      counters.get().addAnswer();
    }
  }

  private void removePending() {
    pending.ifPresent(observed::remove);
    pending = Optional.empty();
  }

  @Override
  public void end(long nowNanos) {
    if (hasEnded) {
      return;
    }
    hasEnded = true;
    removePending();
    pool.ended(this, nowNanos - chosenNanos);
  }
}
