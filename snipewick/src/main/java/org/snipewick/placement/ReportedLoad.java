package org.snipewick.placement;

import static java.util.Objects.requireNonNull;

import java.util.OptionalInt;

/**
 * Load that an endpoint reported with an answer.
 *
 * @param running requests that it was running, not negative
 * @param queued requests that were queued at the endpoint, not negative
 * @param slots number of requests that it can run at the same time, at least 1
 * @param workTimePercent how long work took at that moment, in percent of the usual time, at least
 *     1; empty if the endpoint does not tell
 */
public record ReportedLoad(int running, int queued, int slots, OptionalInt workTimePercent) {

  /**
   * Checks the range of the components.
   *
   * @throws IllegalArgumentException if a component is out of its range
   */
  public ReportedLoad {
    requireNonNull(workTimePercent, "workTimePercent");
    if (running < 0 || queued < 0 || slots < 1 || workTimePercent.orElse(1) < 1) {
      throw new IllegalArgumentException(
          "running and queued must not be negative, slots and workTimePercent must be at least 1");
    }
  }

  /**
   * Returns the load of an endpoint that does not tell how long work takes.
   *
   * @param running requests that it was running
   * @param queued requests that were queued at the endpoint
   * @param slots number of requests that it can run at the same time
   * @return load
   * @throws IllegalArgumentException if a number is out of its range
   */
  public static ReportedLoad of(int running, int queued, int slots) {
    return new ReportedLoad(running, queued, slots, OptionalInt.empty());
  }

  /**
   * Returns this load with the time that work took.
   *
   * @param percent time in percent of the usual one, at least 1
   * @return load
   * @throws IllegalArgumentException if the time is out of its range
   */
  public ReportedLoad withWorkTime(int percent) {
    return new ReportedLoad(running, queued, slots, OptionalInt.of(percent));
  }
}
