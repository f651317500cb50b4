package org.snipewick.peer.tcp;

import static java.util.Objects.requireNonNull;

import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/** Delay between attempts to connect: doubles with each failure, with jitter. */
final class Backoff {
  private static final long FIRST_DELAY_MILLIS = 50;
  private static final long MAX_DELAY_MILLIS = 1_000;
  private static final int MAX_DOUBLINGS = 10;

  private final RandomGenerator random;
  private int failures;
  private long notBeforeNanos;

  private Backoff(RandomGenerator random) {
    this.random = requireNonNull(random, "random");
  }

  static Backoff of(RandomGenerator random) {
    return new Backoff(random);
  }

  void failed(long nowNanos) {
    long doubled = FIRST_DELAY_MILLIS << Math.min(failures, MAX_DOUBLINGS);
    long delay = Math.min(MAX_DELAY_MILLIS, doubled);
    failures++;
    double jitter = 0.5 + random.nextDouble() / 2;
    notBeforeNanos = nowNanos + (long) (TimeUnit.MILLISECONDS.toNanos(delay) * jitter);
  }

  void reset() {
    failures = 0;
  }

  boolean isWaiting(long nowNanos) {
    return failures > 0 && notBeforeNanos - nowNanos > 0;
  }
}
