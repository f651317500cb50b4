package org.snipewick.quota;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.function.Supplier;

/** Grants out of all slots that this instance holds. Not thread-safe. */
final class SlotHolder {
  private final Supplier<Collection<SlotGrants>> held;
  private final SlotGrants.Capacities capacities;

  SlotHolder(Supplier<Collection<SlotGrants>> held, SlotGrants.Capacities capacities) {
    this.held = requireNonNull(held, "held");
    this.capacities = requireNonNull(capacities, "capacities");
  }

  /** Spends an amount at this instance at once if it can be granted. */
  boolean trySpend(String key, double amount, long nowNanos) {
    Collection<SlotGrants> slots = held.get();
    double capacity = capacities.of(key);
    boolean isGrantable = grantable(slots, key, capacity, nowNanos) >= amount;
    if (isGrantable) {
      distribute(slots, key, capacity, amount, Duration.ZERO, nowNanos);
    }
    return isGrantable;
  }

  /**
   * Returns whether more could be granted if a record with a higher ceiling was written, and asks
   * for that record.
   */
  boolean needsRecord(QuotaMessages.Ask ask, long nowNanos) {
    Collection<SlotGrants> slots = held.get();
    double capacity = capacities.of(ask.key());
    double wanted = Math.min(ask.amount(), free(slots, ask.key(), capacity, nowNanos));
    if (wanted < ask.minimum() || grantable(slots, ask.key(), capacity, nowNanos) >= wanted) {
      return false;
    }
    double missing = wanted;
    List<SlotGrants> byFree = new ArrayList<>(slots);
    byFree.sort(
        Comparator.comparingDouble((SlotGrants slot) -> -slot.free(ask.key(), capacity, nowNanos)));
    for (SlotGrants slot : byFree) {
      double part = Math.min(missing, slot.free(ask.key(), capacity, nowNanos));
      if (part > 0) {
        slot.requireCeiling(ask.key(), part);
        missing -= part;
      }
    }
    return true;
  }

  /** Replies to the request of a peer. */
  QuotaMessages.Grant grant(QuotaMessages.Ask ask, long nowNanos) {
    Collection<SlotGrants> slots = held.get();
    double capacity = capacities.of(ask.key());
    double grantable = grantable(slots, ask.key(), capacity, nowNanos);
    double amount = Math.min(ask.amount(), grantable);
    if (!(ask.minimum() > 0) || amount < ask.minimum()) {
      double free = free(slots, ask.key(), capacity, nowNanos);
      return new QuotaMessages.Grant(0, free, retryAfterMillis(slots, ask, capacity, nowNanos));
    }
    distribute(slots, ask.key(), capacity, amount, SlotLease.GRANT_LIFETIME, nowNanos);
    return new QuotaMessages.Grant(amount, free(slots, ask.key(), capacity, nowNanos), 0);
  }

  private static long retryAfterMillis(
      Collection<SlotGrants> slots, QuotaMessages.Ask ask, double capacity, long nowNanos) {
    return slots.stream()
        .mapToLong(
            slot ->
                slot.untilGrantable(ask.key(), capacity, ask.amount() / slots.size(), nowNanos)
                    .toMillis())
        .max()
        .orElse(0);
  }

  private static double free(
      Collection<SlotGrants> slots, String key, double capacity, long nowNanos) {
    return slots.stream().mapToDouble(slot -> slot.free(key, capacity, nowNanos)).sum();
  }

  private static double grantable(
      Collection<SlotGrants> slots, String key, double capacity, long nowNanos) {
    return slots.stream().mapToDouble(slot -> slot.grantable(key, capacity, nowNanos)).sum();
  }

  /** Grants an amount that is grantable in total. */
  private static void distribute(
      Collection<SlotGrants> slots,
      String key,
      double capacity,
      double amount,
      Duration lifetime,
      long nowNanos) {
    double missing = amount;
    for (SlotGrants slot : slots) {
      double part = Math.min(missing, slot.grantable(key, capacity, nowNanos));
      slot.grant(key, part, lifetime, nowNanos);
      missing -= part;
    }
  }
}
