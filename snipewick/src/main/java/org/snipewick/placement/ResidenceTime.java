package org.snipewick.placement;

import java.util.OptionalDouble;

/**
 * Exponentially weighted moving average of the time that requests spend at the endpoints of a pool.
 */
final class ResidenceTime {
  /** About the last fifty requests count, which is about a second at the users' loads. */
  private static final double NEWEST_SAMPLE_WEIGHT = 0.04;

  private double meanNanos;
  private boolean hasSamples;

  /** Adds the residence time of an answered request, in nanoseconds. */
  void add(long nanos) {
    meanNanos = hasSamples ? meanNanos + NEWEST_SAMPLE_WEIGHT * (nanos - meanNanos) : nanos;
    hasSamples = true;
  }

  /** Returns the mean in nanoseconds; empty before the first sample. */
  OptionalDouble meanNanos() {
    return hasSamples ? OptionalDouble.of(meanNanos) : OptionalDouble.empty();
  }
}
