package org.snipewick.idempotency;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.snipewick.time.TimerService;

/** Refuses claims at once while the table is known to be down; lets one probe through at a time. */
final class PlatformGate {
  private static final int FAILURES_UNTIL_DOWN = 2;
  private static final long PROBE_PERIOD_NANOS = Duration.ofMillis(500).toNanos();

  private final TimerService timer;
  private final AtomicInteger failures = new AtomicInteger();
  private final AtomicLong nextProbeNanos = new AtomicLong();

  private PlatformGate(TimerService timer) {
    this.timer = requireNonNull(timer, "timer");
  }

  static PlatformGate of(TimerService timer) {
    return new PlatformGate(timer);
  }

  /** Tells whether a claim may try the table now. */
  boolean tryPass() {
    if (failures.get() < FAILURES_UNTIL_DOWN) {
      return true;
    }
    long now = timer.nanoTime();
    long next = nextProbeNanos.get();
    return now - next >= 0 && nextProbeNanos.compareAndSet(next, now + PROBE_PERIOD_NANOS);
  }

  void succeeded() {
    failures.set(0);
  }

  void failed() {
    if (failures.incrementAndGet() >= FAILURES_UNTIL_DOWN) {
      nextProbeNanos.set(timer.nanoTime() + PROBE_PERIOD_NANOS);
    }
  }
}
