package org.snipewick.quota;

import static java.util.Objects.requireNonNull;

import java.time.Duration;

/**
 * Result of a request for a permit.
 *
 * @param isGranted whether a permit was granted
 * @param sentNanos monotonic time at which it was requested and its lifetime began, in nanoseconds
 * @param retryAfter time after which one may be granted; zero if it was
 */
record PermitResult(boolean isGranted, long sentNanos, Duration retryAfter) {

  PermitResult {
    requireNonNull(retryAfter, "retryAfter");
  }
}
