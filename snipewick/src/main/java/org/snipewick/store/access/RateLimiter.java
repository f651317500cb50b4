package org.snipewick.store.access;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.DoubleSupplier;
import org.snipewick.time.TimerService;

/**
 * Rate limiter of calls. A burst holds at most the calls that the rate permits in 0.1 seconds.
 * Thread-safe, lock-free.
 */
final class RateLimiter {
  private static final double NANOS_PER_SECOND = 1e9;

  /** Size of a burst, as the time in which the rate permits that many calls. */
  private static final double BURST_SECONDS = 0.1;

  private final TimerService timer;
  private final DoubleSupplier callsPerSecond;
  private final AtomicLong nextSendNanos;

  RateLimiter(TimerService timer, double callsPerSecond) {
    this(timer, () -> callsPerSecond);
  }

  /** Creates a limiter whose rate, in calls per second, may change. */
  RateLimiter(TimerService timer, DoubleSupplier callsPerSecond) {
    this.timer = requireNonNull(timer, "timer");
    this.callsPerSecond = requireNonNull(callsPerSecond, "callsPerSecond");
    nextSendNanos = new AtomicLong(timer.nanoTime() - burstNanos(intervalNanos()));
  }

  /** Returns the time between two calls at the current rate. */
  Duration interval() {
    return Duration.ofNanos(intervalNanos());
  }

  /**
   * Reserves the next time at which a call may be sent.
   *
   * @param maxWait longest acceptable wait
   * @return time from now until the call may be sent; empty, with nothing reserved, if it would be
   *     longer than the limit
   */
  Optional<Duration> reserve(Duration maxWait) {
    long intervalNanos = intervalNanos();
    long burstNanos = burstNanos(intervalNanos);
    while (true) {
      long nowNanos = timer.nanoTime();
      long earliestNanos = nextSendNanos.get();
      long sendNanos = Math.max(earliestNanos, nowNanos - burstNanos);
      long waitNanos = Math.max(0, sendNanos - nowNanos);
      if (waitNanos > maxWait.toNanos()) {
        return Optional.empty();
      }
      if (nextSendNanos.compareAndSet(earliestNanos, sendNanos + intervalNanos)) {
        return Optional.of(Duration.ofNanos(waitNanos));
      }
    }
  }

  private long intervalNanos() {
    return Math.max(1, Math.round(NANOS_PER_SECOND / callsPerSecond.getAsDouble()));
  }

  private static long burstNanos(long intervalNanos) {
    return Math.max(0, Math.round(NANOS_PER_SECOND * BURST_SECONDS) - intervalNanos);
  }
}
