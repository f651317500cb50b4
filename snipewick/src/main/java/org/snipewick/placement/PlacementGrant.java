package org.snipewick.placement;

import java.time.Duration;

/**
 * Permission to send one request to one endpoint, once. It uses one of the endpoint's slots until
 * it ends. What is learned about the endpoint meanwhile is reported to whoever placed the request.
 * Not thread-safe.
 */
public interface PlacementGrant {

  /** Records that prefill has ended or was abandoned; later calls have no effect. */
  void endPrefill();

  /**
   * Records how long a unit of the answer took.
   *
   * @param nanosPerUnit nanoseconds per event of a stream, or for a whole answer
   * @param nowNanos current monotonic time, in nanoseconds
   */
  void recordServiceTime(double nanosPerUnit, long nowNanos);

  /**
   * Records the load that the endpoint reported with its answer.
   *
   * @param load reported load
   * @param nowNanos current monotonic time, in nanoseconds
   */
  void updateReportedLoad(ReportedLoad load, long nowNanos);

  /**
   * Records that the endpoint asked for a pause.
   *
   * @param pause time for which nothing is to be sent to it
   * @param nowNanos current monotonic time, in nanoseconds
   */
  void pause(Duration pause, long nowNanos);

  /**
   * Frees the slot; later calls of any method have no effect.
   *
   * @param result how the request ended
   * @param nowNanos current monotonic time, in nanoseconds
   */
  void end(AttemptResult result, long nowNanos);
}
