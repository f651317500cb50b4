package org.snipewick.peer.tcp;

import static java.util.Objects.requireNonNull;

import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/**
 * Exponential backoff of connection attempts: the delay doubles with each failure up to a maximum,
 * and jitter shortens it by up to a half. Not thread-safe.
 */
final class Backoff {
  private static final long INITIAL_DELAY_MILLIS = 50;
  private static final long MAX_DELAY_MILLIS = 1_000;
  private static final int MAX_DOUBLINGS = 10;

  private final RandomGenerator random;
  private int failures;
  private long notBeforeNanos;

  private Backoff(RandomGenerator random) {
    this.random = requireNonNull(random, "random");
  }

  /** Returns a backoff without a failure, which does not delay the first attempt. */
  static Backoff of(RandomGenerator random) {
    return new Backoff(random);
  }

  /** Starts the delay after a failed attempt or a broken connection. */
  void recordFailure(long nowNanos) {
    long doubledMillis = INITIAL_DELAY_MILLIS << Math.min(failures, MAX_DOUBLINGS);
    long delayMillis = Math.min(MAX_DELAY_MILLIS, doubledMillis);
    failures++;
    double jitterFactor = 0.5 + random.nextDouble() / 2;
    notBeforeNanos = nowNanos + (long) (TimeUnit.MILLISECONDS.toNanos(delayMillis) * jitterFactor);
  }

  /** Ends the delay and starts again with the initial one. */
  void reset() {
    failures = 0;
  }

  /** Returns whether the next attempt is still delayed. */
  boolean isWaiting(long nowNanos) {
    return failures > 0 && notBeforeNanos - nowNanos > 0;
  }
}
