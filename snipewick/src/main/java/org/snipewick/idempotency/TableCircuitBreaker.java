package org.snipewick.idempotency;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.snipewick.time.TimerService;

/**
 * Circuit breaker in front of the platform's table. After consecutive failed accesses it refuses
 * claims and lookups immediately, except for one per probe interval.
 */
final class TableCircuitBreaker {
  private static final int FAILURES_TO_OPEN = 2;
  private static final long PROBE_INTERVAL_NANOS = Duration.ofMillis(500).toNanos();

  private final TimerService timer;
  private final AtomicInteger consecutiveFailures = new AtomicInteger();
  private final AtomicLong nextProbeNanos = new AtomicLong();

  private TableCircuitBreaker(TimerService timer) {
    this.timer = requireNonNull(timer, "timer");
  }

  static TableCircuitBreaker of(TimerService timer) {
    return new TableCircuitBreaker(timer);
  }

  /** Returns whether a claim or lookup may access the table now. */
  boolean tryAcquire() {
    if (consecutiveFailures.get() < FAILURES_TO_OPEN) {
      return true;
    }
    long nowNanos = timer.nanoTime();
    long probeNanos = nextProbeNanos.get();
    return nowNanos - probeNanos >= 0
        && nextProbeNanos.compareAndSet(probeNanos, nowNanos + PROBE_INTERVAL_NANOS);
  }

  void recordSuccess() {
    consecutiveFailures.set(0);
  }

  void recordFailure() {
    if (consecutiveFailures.incrementAndGet() >= FAILURES_TO_OPEN) {
      nextProbeNanos.set(timer.nanoTime() + PROBE_INTERVAL_NANOS);
    }
  }
}
