package org.snipewick.placement;

import java.util.OptionalDouble;

/** Mean time that requests have lately spent at the endpoints of a pool. */
final class ResidenceTime {
  /** About the last fifty requests count, a second's worth at the users' loads. */
  private static final double NEWEST_SHARE = 0.04;

  private double meanNanos;
  private boolean isKnown;

  void count(long nanos) {
    meanNanos = isKnown ? meanNanos + NEWEST_SHARE * (nanos - meanNanos) : nanos;
    isKnown = true;
  }

  /** Returns the mean in nanoseconds; empty before the first request has ended. */
  OptionalDouble meanNanos() {
    return isKnown ? OptionalDouble.of(meanNanos) : OptionalDouble.empty();
  }
}
