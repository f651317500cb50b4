package org.snipewick.standins.server;

/**
 * Faults that a stand-in injects into each call, as set by {@code PUT /control/faults}.
 *
 * @param delayMillis delay of each call, in milliseconds
 * @param outage whether calls are rejected with 503
 * @param hang whether calls get no response and have no effect
 * @param loseAnswers whether the connection of a call other than GET is closed after the call has
 *     taken effect and before its response is sent
 * @param staleReads whether reads of the platform return the state of {@code staleMillis} ago
 * @param staleMillis age of a stale read in milliseconds
 * @param slowFactor factor by which the service time is multiplied, 1 for normal speed
 * @param breakStreamAfter number of events after which a response of an engine, streamed or whole,
 *     is aborted; 0 for never
 * @param refuse whether calls are rejected with 503 and marked as not run
 * @param lateMillis delay in milliseconds before a call other than GET takes effect, while its
 *     connection is closed at once; 0 for no such fault
 * @param forgetHistory whether feeds of the platform return 410 for versions before the current
 *     one, as if the changes since then were no longer kept
 */
public record Faults(
    long delayMillis,
    boolean outage,
    boolean hang,
    boolean loseAnswers,
    boolean staleReads,
    long staleMillis,
    double slowFactor,
    int breakStreamAfter,
    boolean refuse,
    long lateMillis,
    boolean forgetHistory) {

  /**
   * Checks the values. A missing slow factor is read as 0 and replaced by 1.
   *
   * @throws IllegalArgumentException if a value is negative
   */
  public Faults {
    if (delayMillis < 0
        || staleMillis < 0
        || slowFactor < 0
        || breakStreamAfter < 0
        || lateMillis < 0) {
      throw new IllegalArgumentException(
          "Delays, factors and counts of faults must not be negative");
    }
    slowFactor = slowFactor == 0 ? 1 : slowFactor;
  }

  /**
   * Returns settings that inject no faults.
   *
   * @return no faults
   */
  public static Faults none() {
    return new Faults(0, false, false, false, false, 0, 1, 0, false, 0, false);
  }
}
