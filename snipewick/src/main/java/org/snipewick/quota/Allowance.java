package org.snipewick.quota;

import static java.util.Objects.requireNonNull;

import java.util.ArrayList;
import java.util.List;
import org.snipewick.time.Moment;

/** Granted amounts of one limit that this instance has not spent yet. Not thread-safe. */
final class Allowance {
  private final List<Part> parts = new ArrayList<>();

  /** Unspent rest of a grant. */
  private record Part(double amount, Moment askedAt) {

    boolean isValid(Moment now) {
      return now.since(askedAt).compareTo(SlotLease.GRANT_LIFETIME) < 0;
    }
  }

  /** Adds a grant, whose lifetime counts from the sending of the request for it. */
  void add(double amount, Moment askedAt) {
    requireNonNull(askedAt, "askedAt");
    if (amount > 0) {
      parts.add(new Part(amount, askedAt));
    }
  }

  /** Returns the sum of the amounts that may be spent now. */
  double available(Moment now) {
    parts.removeIf(part -> !part.isValid(now));
    return parts.stream().mapToDouble(Part::amount).sum();
  }

  /** Spends an amount if it is available, first from the earliest grant. */
  boolean trySpend(double amount, Moment now) {
    if (amount > available(now)) {
      return false;
    }
    double missing = amount;
    while (missing > 0 && !parts.isEmpty()) {
      Part first = parts.remove(0);
      double spent = Math.min(missing, first.amount());
      missing -= spent;
      if (first.amount() > spent) {
        parts.add(0, new Part(first.amount() - spent, first.askedAt()));
      }
    }
    return true;
  }
}
