package org.snipewick.quota;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;

/** Amounts that were granted and still count against their limits. Not thread-safe. */
final class GrantLedger {
  private static final long NANOS_PER_SECOND = Duration.ofSeconds(1).toNanos();

  private final Map<String, Account> accounts = new HashMap<>();

  private GrantLedger() {}

  static GrantLedger empty() {
    return new GrantLedger();
  }

  /** Adds an amount that counts for the given time; ignores an amount of 0 or less. */
  void add(String key, double amount, Duration counts, long nowNanos) {
    if (amount > 0) {
      accounts
          .computeIfAbsent(requireNonNull(key, "key"), name -> new Account())
          .add(new Entry(amount, nowNanos + counts.toNanos()));
    }
  }

  /** Returns the sum of the amounts that still count. */
  double total(String key, long nowNanos) {
    Account account = accounts.get(key);
    return account == null ? 0 : account.total(nowNanos);
  }

  /** Returns the time until at least an amount no longer counts; empty amounts need none. */
  Duration untilExpired(String key, double amount, long nowNanos) {
    Account account = accounts.get(key);
    return account == null || amount <= 0 ? Duration.ZERO : account.untilExpired(amount, nowNanos);
  }

  /**
   * Returns the amounts that still count, by the whole seconds for which they do: the first element
   * of a list is the sum of the amounts that expire within the next second.
   */
  Map<String, List<Double>> bySecondsLeft(long nowNanos) {
    Map<String, List<Double>> amounts = new HashMap<>();
    accounts.values().removeIf(account -> account.total(nowNanos) == 0);
    accounts.forEach((key, account) -> amounts.put(key, account.bySecondsLeft(nowNanos)));
    return amounts;
  }

  private record Entry(double amount, long expiryNanos) {}

  private static final class Account {
    private final PriorityQueue<Entry> entries =
        new PriorityQueue<>(Comparator.comparingLong(Entry::expiryNanos));
    private double total;

    void add(Entry entry) {
      entries.add(entry);
      total += entry.amount();
    }

    double total(long nowNanos) {
      while (!entries.isEmpty() && entries.peek().expiryNanos() - nowNanos <= 0) {
        total -= entries.remove().amount();
      }
      if (entries.isEmpty()) {
        total = 0;
      }
      return total;
    }

    Duration untilExpired(double amount, long nowNanos) {
      double expired = 0;
      long untilNanos = nowNanos;
      List<Entry> sorted = new ArrayList<>(entries);
      sorted.sort(entries.comparator());
      for (Entry entry : sorted) {
        expired += entry.amount();
        untilNanos = entry.expiryNanos();
        if (expired >= amount) {
          break;
        }
      }
      return Duration.ofNanos(Math.max(0, untilNanos - nowNanos));
    }

    List<Double> bySecondsLeft(long nowNanos) {
      List<Double> amounts = new ArrayList<>();
      for (Entry entry : entries) {
        int seconds = (int) ((entry.expiryNanos() - nowNanos - 1) / NANOS_PER_SECOND);
        while (amounts.size() <= seconds) {
          amounts.add(0.0);
        }
        amounts.set(seconds, amounts.get(seconds) + entry.amount());
      }
      return amounts;
    }
  }
}
