package org.snipewick.bench.soak;

/**
 * A fault that was injected during a run.
 *
 * @param fault fault
 * @param beginNanos time of injection on the monotonic clock
 * @param endNanos time on the monotonic clock when the target had recovered; {@link Long#MAX_VALUE}
 *     if it has not
 */
record InjectedFault(Fault fault, long beginNanos, long endNanos) {

  /** Returns whether an attempt was in flight at some time during the fault. */
  boolean overlaps(Attempt attempt) {
    return beginNanos <= attempt.endNanos() && attempt.startNanos() <= endNanos;
  }
}
