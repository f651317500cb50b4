package org.snipewick.store.access;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import java.util.random.RandomGenerator;

/**
 * Exponential backoff with full jitter, within a retry budget, to which each first attempt adds a
 * fraction of a retry. Thread-safe, lock-free.
 */
final class RetryPolicy {
  /** Units of the budget in one retry, so that a first attempt can add a fraction of a retry. */
  private static final long UNITS_PER_RETRY = 1_000;

  /** Maximum retries that the budget can hold. */
  private static final long MAX_SAVED_RETRIES = 10;

  private static final int MAX_DOUBLINGS = 20;

  private final StoreSettings.Retry settings;
  private final RandomGenerator random;
  private final AtomicLong budgetUnits = new AtomicLong(MAX_SAVED_RETRIES * UNITS_PER_RETRY);

  RetryPolicy(StoreSettings.Retry settings, RandomGenerator random) {
    this.settings = requireNonNull(settings, "settings");
    this.random = requireNonNull(random, "random");
  }

  /** Records a first attempt, which adds its share to the budget. */
  void recordFirstAttempt() {
    long addedUnits = Math.round(settings.budgetShare() * UNITS_PER_RETRY);
    budgetUnits.updateAndGet(
        units -> Math.min(MAX_SAVED_RETRIES * UNITS_PER_RETRY, units + addedUnits));
  }

  /**
   * Spends one retry of the budget, if a further attempt is allowed.
   *
   * @param attempts attempts made so far, at least 1
   * @return delay before the next attempt; empty if the attempts or the budget are used up
   */
  Optional<Duration> nextDelay(int attempts) {
    if (attempts >= settings.maxAttempts() || !spendRetry()) {
      return Optional.empty();
    }
    long ceilingMillis = settings.baseMillis() << Math.min(attempts - 1, MAX_DOUBLINGS);
    long delayMillis = random.nextLong(Math.min(settings.maxMillis(), ceilingMillis) + 1);
    return Optional.of(Duration.ofMillis(delayMillis));
  }

  private boolean spendRetry() {
    long previousUnits =
        budgetUnits.getAndUpdate(
            units -> units >= UNITS_PER_RETRY ? units - UNITS_PER_RETRY : units);
    return previousUnits >= UNITS_PER_RETRY;
  }
}
