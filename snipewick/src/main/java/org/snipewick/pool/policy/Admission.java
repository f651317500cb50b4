package org.snipewick.pool.policy;

/** Rule that decides whether a request may still be granted, by the forecast of its finish. */
public sealed interface Admission {

  /**
   * Returns whether a request may be granted.
   *
   * @param forecastMillis forecast time until the answer is complete, in milliseconds
   * @param remainingMillis time left until the deadline, in milliseconds
   * @return true if the request may be granted
   */
  boolean admits(double forecastMillis, double remainingMillis);

  /**
   * Returns whether the deadlines of running requests are protected too.
   *
   * @return true if a grant must not make a running request miss its deadline
   */
  boolean protectsRunningDeadlines();

  /**
   * Admits requests that finish before their deadline with a margin.
   *
   * @param marginShare share of the remaining time that must be left at the finish, 0 to 1
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

  /** Admits all requests whose deadline has not passed, whatever the forecast. */
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
