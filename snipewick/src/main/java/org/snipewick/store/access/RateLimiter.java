package org.snipewick.store.access;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.DoubleSupplier;
import org.snipewick.time.TimerService;

/** Spaces calls to a rate, with a burst of a tenth of a second's calls; lock-free. */
final class RateLimiter {
  private static final double NANOS_PER_SECOND = 1e9;
  private static final double BURST_SECONDS = 0.1;

  private final TimerService timer;
  private final DoubleSupplier perSecond;
  private final AtomicLong nextNanos;

  RateLimiter(TimerService timer, double perSecond) {
    this(timer, () -> perSecond);
  }

  /** Creates a limiter whose rate may change. */
  RateLimiter(TimerService timer, DoubleSupplier perSecond) {
    this.timer = requireNonNull(timer, "timer");
    this.perSecond = requireNonNull(perSecond, "perSecond");
    nextNanos = new AtomicLong(timer.nanoTime() - burstNanos(intervalNanos()));
  }

  /** Returns the time between two calls at the present rate. */
  Duration interval() {
    return Duration.ofNanos(intervalNanos());
  }

  /**
   * Takes the next place.
   *
   * @param longest longest acceptable wait
   * @return time from now until the call may be sent; empty, and no place taken, if it is longer
   */
  Optional<Duration> reserve(Duration longest) {
    long intervalNanos = intervalNanos();
    long burstNanos = burstNanos(intervalNanos);
    while (true) {
      long now = timer.nanoTime();
      long next = nextNanos.get();
      long place = Math.max(next, now - burstNanos);
      long wait = Math.max(0, place - now);
      if (wait > longest.toNanos()) {
        return Optional.empty();
      }
      if (nextNanos.compareAndSet(next, place + intervalNanos)) {
        return Optional.of(Duration.ofNanos(wait));
      }
    }
  }

  private long intervalNanos() {
    return Math.max(1, Math.round(NANOS_PER_SECOND / perSecond.getAsDouble()));
  }

  private static long burstNanos(long intervalNanos) {
    return Math.max(0, Math.round(NANOS_PER_SECOND * BURST_SECONDS) - intervalNanos);
  }
}
