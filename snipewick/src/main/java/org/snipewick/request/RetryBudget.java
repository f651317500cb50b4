package org.snipewick.request;

import java.util.concurrent.atomic.AtomicLong;

/** Keeps retries below a share of the requests, so that they do not add to an overload. */
public final class RetryBudget {
  private static final long UNITS_PER_RETRY = 10;
  private static final long MAX_UNITS = 100 * UNITS_PER_RETRY;

  private final AtomicLong units = new AtomicLong(MAX_UNITS);

  private RetryBudget() {}

  /**
   * Returns a full budget: 100 retries, and one more for each ten requests.
   *
   * @return budget
   */
  public static RetryBudget create() {
    return new RetryBudget();
  }

  /** Notes a request, which earns a tenth of a retry. */
  public void earn() {
    units.updateAndGet(held -> Math.min(MAX_UNITS, held + 1));
  }

  /**
   * Takes a retry.
   *
   * @return whether the budget allows it
   */
  public boolean trySpend() {
    long before =
        units.getAndUpdate(held -> held >= UNITS_PER_RETRY ? held - UNITS_PER_RETRY : held);
    return before >= UNITS_PER_RETRY;
  }
}
