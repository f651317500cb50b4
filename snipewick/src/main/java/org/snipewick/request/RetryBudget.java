package org.snipewick.request;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Limits retries to a share of the requests, so that retries do not add to an overload. It is a
 * token bucket: each request adds a unit, each retry spends ten. Thread-safe.
 */
public final class RetryBudget {
  private static final long UNITS_PER_RETRY = 10;
  private static final long MAX_UNITS = 100 * UNITS_PER_RETRY;

  private final AtomicLong units = new AtomicLong(MAX_UNITS);

  private RetryBudget() {}

  /**
   * Returns a full budget: 100 retries, and one more for every ten requests.
   *
   * @return budget
   */
  public static RetryBudget create() {
    return new RetryBudget();
  }

  /**
   * Adds a tenth of a retry to the budget, for one request; the budget holds 100 retries at most.
   */
  public void recordRequest() {
    units.updateAndGet(available -> Math.min(MAX_UNITS, available + 1));
  }

  /**
   * Spends a retry if the budget holds one.
   *
   * @return whether the retry is allowed
   */
  public boolean trySpend() {
    long before =
        units.getAndUpdate(
            available -> available >= UNITS_PER_RETRY ? available - UNITS_PER_RETRY : available);
    return before >= UNITS_PER_RETRY;
  }
}
