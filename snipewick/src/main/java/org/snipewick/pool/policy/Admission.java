package org.snipewick.pool.policy;

/** Whether a request may still be granted, given when it would finish. */
public sealed interface Admission {

  /**
   * Judges a forecast.
   *
   * @param forecastMillis time until the answer would be complete, in milliseconds
   * @param remainingMillis time until it must be complete, in milliseconds
   * @return whether the request may be granted
   */
  boolean admits(double forecastMillis, double remainingMillis);

  /**
   * Tells whether deadlines count, also those of running requests.
   *
   * @return whether a grant must not make a running request late
   */
  boolean protectsRunningDeadlines();

  /**
   * Admits what finishes within its deadline with a margin.
   *
   * @param marginShare share of the remaining time that must be left, 0 to 1
   */
  record WithinDeadline(double marginShare) implements Admission {

    @Override
    public boolean admits(double forecastMillis, double remainingMillis) {
      return forecastMillis <= remainingMillis * (1 - marginShare);
    }

    @Override
    public boolean protectsRunningDeadlines() {
      return true;
    }
  }

  /** Admits whatever has time left. */
  record UntilDeadline() implements Admission {

    @Override
    public boolean admits(double forecastMillis, double remainingMillis) {
      return remainingMillis > 0;
    }

    @Override
    public boolean protectsRunningDeadlines() {
      return false;
    }
  }
}
