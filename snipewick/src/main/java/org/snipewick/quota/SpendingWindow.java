package org.snipewick.quota;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;

/** Amounts spent within a sliding window. Not thread-safe. */
final class SpendingWindow {
  private final long lengthNanos;
  private final Deque<Spending> spendings = new ArrayDeque<>();
  private double total;

  SpendingWindow(long lengthNanos) {
    this.lengthNanos = lengthNanos;
  }

  private record Spending(long atNanos, double amount) {}

  /** Adds an amount that is spent now; ignores an amount of 0 or less. */
  void add(double amount, long nowNanos) {
    if (amount > 0) {
      spendings.addLast(new Spending(nowNanos, amount));
      total += amount;
    }
  }

  /** Removes the amounts that have left the window and returns the sum of the others. */
  double total(long nowNanos) {
    while (!spendings.isEmpty() && nowNanos - spendings.peekFirst().atNanos() > lengthNanos) {
      total -= spendings.removeFirst().amount();
    }
    return spendings.isEmpty() ? 0 : total;
  }

  /**
   * Returns the nanoseconds until at least the given amount has left the window; empty if the
   * window holds less than that.
   */
  Optional<Long> nanosUntilExpired(double amount, long nowNanos) {
    double expired = 0;
    for (Spending each : spendings) {
      expired += each.amount();
      if (expired >= amount) {
        return Optional.of(lengthNanos - (nowNanos - each.atNanos()));
      }
    }
    return Optional.empty();
  }
}
