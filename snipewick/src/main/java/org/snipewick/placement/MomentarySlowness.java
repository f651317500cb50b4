package org.snipewick.placement;

import java.time.Duration;
import java.util.OptionalInt;

/**
 * Factor by which work takes longer at an endpoint at this moment than usually, as the endpoint
 * reports it. Answers a load of endpoints that share their hosts with others and are slow in spells
 * of about half a second: a report loses weight with its age. Not thread-safe.
 */
final class MomentarySlowness {
  private static final double USUAL = 1;
  private static final double PERCENT = 100;

  /** Time in which a report loses half of its weight; half of the length of a spell. */
  private static final double HALF_LIFE_NANOS = Duration.ofMillis(300).toNanos();

  /** Bounds what a single report can do to the choice of endpoints. */
  private static final double MIN_FACTOR = 0.25;

  private static final double MAX_FACTOR = 8;

  private double reported = USUAL;
  private long reportedAtNanos;

  /** Stores what the endpoint reported; without a time, work is taken to last as long as usual. */
  void update(OptionalInt workTimePercent, long nowNanos) {
    reported =
        workTimePercent.isPresent()
            ? Math.min(MAX_FACTOR, Math.max(MIN_FACTOR, workTimePercent.getAsInt() / PERCENT))
            : USUAL;
    reportedAtNanos = nowNanos;
  }

  /** Discards the report, as that of an earlier start of the endpoint. */
  void reset() {
    reported = USUAL;
  }

  /** Returns the factor that is expected at a time, in monotonic nanoseconds. */
  double at(long nowNanos) {
    if (reported == USUAL) {
      return USUAL;
    }
    double weight = Math.pow(0.5, Math.max(0, nowNanos - reportedAtNanos) / HALF_LIFE_NANOS);
    return USUAL + (reported - USUAL) * weight;
  }
}
