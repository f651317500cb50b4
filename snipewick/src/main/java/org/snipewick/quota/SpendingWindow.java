package org.snipewick.quota;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;

/** Amounts spent in the latest span of a fixed length. */
final class SpendingWindow {
  private final long lengthNanos;
  private final Deque<Spending> spendings = new ArrayDeque<>();
  private double total;

  SpendingWindow(long lengthNanos) {
    this.lengthNanos = lengthNanos;
  }

  private record Spending(long atNanos, double amount) {}

  void add(double amount, long nowNanos) {
    if (amount > 0) {
      spendings.addLast(new Spending(nowNanos, amount));
      total += amount;
    }
  }

  double total(long nowNanos) {
    while (!spendings.isEmpty() && nowNanos - spendings.peekFirst().atNanos() > lengthNanos) {
      total -= spendings.removeFirst().amount();
    }
    return spendings.isEmpty() ? 0 : total;
  }

  /** Returns the time after which so much has left the window; empty if it does not hold it. */
  Optional<Long> nanosUntilFree(double amount, long nowNanos) {
    double freed = 0;
    for (Spending each : spendings) {
      freed += each.amount();
      if (freed >= amount) {
        return Optional.of(lengthNanos - (nowNanos - each.atNanos()));
      }
    }
    return Optional.empty();
  }
}
