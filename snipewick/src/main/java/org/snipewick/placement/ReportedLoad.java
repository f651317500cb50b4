package org.snipewick.placement;

/**
 * Load that an endpoint reported with an answer.
 *
 * @param running requests that it was running, not negative
 * @param queued requests that were queued at the endpoint, not negative
 * @param slots number of requests that it can run at the same time, at least 1
 */
public record ReportedLoad(int running, int queued, int slots) {

  /**
   * Checks the range of the components.
   *
   * @throws IllegalArgumentException if a component is out of its range
   */
  public ReportedLoad {
    if (running < 0 || queued < 0 || slots < 1) {
      throw new IllegalArgumentException(
          "running and queued must not be negative, slots must be at least 1");
    }
  }
}
