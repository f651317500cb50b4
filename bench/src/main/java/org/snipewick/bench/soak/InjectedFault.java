package org.snipewick.bench.soak;

/**
 * Fault that has happened.
 *
 * @param fault what happened
 * @param beginNanos begin on the monotonic clock
 * @param endNanos time when all was well again; {@link Long#MAX_VALUE} if that has not come
 */
record Strike(Fault fault, long beginNanos, long endNanos) {

  boolean overlaps(Attempt attempt) {
    return beginNanos <= attempt.endNanos() && attempt.startNanos() <= endNanos;
  }
}
