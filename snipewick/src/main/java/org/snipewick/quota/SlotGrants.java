package org.snipewick.quota;

import static java.util.Objects.requireNonNull;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Grants out of one slot, an equal part of every limit. The sum of the grants that count never
 * exceeds the part. No more is granted between two records in the store than the first one
 * announces, so that a process that restores the record knows a bound on all grants. Not
 * thread-safe.
 */
final class SlotGrants {
  /** Share of a limit's part that may be granted although the record does not list the limit. */
  private static final double UNLISTED_SHARE = 0.1;

  /** Time for which a ceiling lasts at the present rate, while the store takes no record. */
  private static final Duration CEILING_DURATION = Duration.ofSeconds(5);

  /** Ceiling in multiples of what was granted or wanted since the record before. */
  private static final double CEILING_HEADROOM = 2;

  private final GrantLedger ledger = GrantLedger.empty();
  private final PermitLedger permits = new PermitLedger();
  private final Duration window;
  private Ceilings recorded;
  private final List<Ceilings> unconfirmed = new ArrayList<>();
  private final Map<String, Double> unmet = new HashMap<>();
  private final Set<String> restored = new HashSet<>();
  private double restoredShareOfOthers;
  private long restoredUntilNanos;

  private SlotGrants(Duration window) {
    this.window = requireNonNull(window, "window");
    this.recorded = new Ceilings(0, Map.of());
  }

  /** Returns a slot out of which nothing was granted. */
  static SlotGrants empty(Duration window) {
    return new SlotGrants(window);
  }

  /**
   * Returns a slot out of which earlier processes have granted what their latest record bounds.
   *
   * @param earlier latest record
   * @param window time for which a grant counts after the end of its lifetime
   * @param maxLifetime longest lifetime of a grant
   * @param nowNanos time after the end of the earlier processes' lease
   */
  static SlotGrants restore(
      SlotRecord earlier, Duration window, Duration maxLifetime, long nowNanos) {
    SlotGrants slot = new SlotGrants(window);
    Duration longest = window.plus(maxLifetime);
    earlier
        .grants()
        .forEach(
            (key, grants) -> {
              slot.restored.add(key);
              slot.ledger.add(key, grants.ceiling(), longest, nowNanos);
              for (int second = 0; second < grants.bySecondsLeft().size(); second++) {
                Duration left = Duration.ofSeconds(second + 1L);
                slot.ledger.add(key, grants.bySecondsLeft().get(second), left, nowNanos);
              }
            });
    slot.restoredShareOfOthers = earlier.shareOfOthers();
    slot.restoredUntilNanos = nowNanos + longest.toNanos();
    return slot;
  }

  /** Amounts that may be granted since a record, and those that have been. */
  private static final class Ceilings {
    private final double shareOfOthers;
    private final Map<String, Double> byKey;
    private final Map<String, Double> granted = new HashMap<>();

    Ceilings(double shareOfOthers, Map<String, Double> byKey) {
      this.shareOfOthers = shareOfOthers;
      this.byKey = Map.copyOf(byKey);
    }

    double left(String key, double capacity) {
      double ceiling = byKey.getOrDefault(key, shareOfOthers * capacity);
      return Math.max(0, ceiling - granted.getOrDefault(key, 0.0));
    }

    void add(String key, double amount) {
      granted.merge(key, amount, Double::sum);
    }
  }

  /** Returns the permits that were granted for endpoints with limits. */
  PermitLedger permits() {
    return permits;
  }

  /** Returns the keys of the limits out of which grants count. */
  Set<String> keys(long nowNanos) {
    return new HashSet<>(ledger.bySecondsLeft(nowNanos).keySet());
  }

  /** Returns the part of a limit that counts as granted. */
  double granted(String key, double capacity, long nowNanos) {
    boolean mayHaveBeenGranted = restoredUntilNanos - nowNanos > 0 && !restored.contains(key);
    return ledger.total(key, nowNanos)
        + (mayHaveBeenGranted ? restoredShareOfOthers * capacity : 0);
  }

  /** Returns what can be granted now, regardless of the record. */
  double free(String key, double capacity, long nowNanos) {
    return Math.max(0, capacity - granted(key, capacity, nowNanos));
  }

  /** Returns what can be granted now under the ceilings of the record. */
  double grantable(String key, double capacity, long nowNanos) {
    return Math.min(free(key, capacity, nowNanos), left(key, capacity));
  }

  /** Asks for a record whose ceiling allows an amount. */
  void requireCeiling(String key, double amount) {
    unmet.merge(key, amount, Math::max);
  }

  /** A record that is not confirmed yet may already be in the store, or be written later. */
  private double left(String key, double capacity) {
    double left = recorded.left(key, capacity);
    for (Ceilings each : unconfirmed) {
      left = Math.min(left, each.left(key, capacity));
    }
    return left;
  }

  /** Grants an amount that {@link #grantable} has returned, or less. */
  void grant(String key, double amount, Duration lifetime, long nowNanos) {
    ledger.add(key, amount, window.plus(lifetime), nowNanos);
    recorded.add(key, amount);
    unconfirmed.forEach(ceilings -> ceilings.add(key, amount));
  }

  /** Returns the time until an amount may be granted, if nothing else is until then. */
  Duration untilGrantable(String key, double capacity, double amount, long nowNanos) {
    double missing = granted(key, capacity, nowNanos) + amount - capacity;
    return ledger.untilExpired(key, missing, nowNanos);
  }

  /** Returns whether a record with higher ceilings is needed. */
  boolean needsRecord() {
    return !unmet.isEmpty();
  }

  /** Returns whether anything was granted since the latest record. */
  boolean isChanged() {
    return !recorded.granted.isEmpty();
  }

  /** Returns the record that is to be written next. */
  SlotRecord nextRecord(String holder, long incarnation, Capacities capacities, long nowNanos) {
    Map<String, SlotRecord.KeyGrants> grants = new HashMap<>();
    Map<String, Double> ceilings = new HashMap<>();
    Set<String> keys = keys(nowNanos);
    keys.addAll(unmet.keySet());
    for (String key : keys) {
      addRestored(key, capacities.of(key), nowNanos);
    }
    Map<String, List<Double>> counting = ledger.bySecondsLeft(nowNanos);
    for (String key : keys) {
      double ceiling = ceiling(key, capacities.of(key), nowNanos);
      ceilings.put(key, ceiling);
      grants.put(key, new SlotRecord.KeyGrants(ceiling, counting.getOrDefault(key, List.of())));
    }
    unmet.clear();
    unconfirmed.add(new Ceilings(UNLISTED_SHARE, ceilings));
    double others = Math.min(1, UNLISTED_SHARE + restoredShareAt(nowNanos));
    return new SlotRecord(holder, incarnation, others, grants);
  }

  private double ceiling(String key, double capacity, long nowNanos) {
    double lasting = ledger.total(key, nowNanos) * CEILING_DURATION.toMillis() / window.toMillis();
    double latest = Math.max(recorded.granted.getOrDefault(key, 0.0), unmet.getOrDefault(key, 0.0));
    double ceiling = Math.max(lasting, CEILING_HEADROOM * latest);
    return Math.min(capacity, Math.max(ceiling, UNLISTED_SHARE * capacity));
  }

  private double restoredShareAt(long nowNanos) {
    return restoredUntilNanos - nowNanos > 0 ? restoredShareOfOthers : 0;
  }

  /**
   * Adds what earlier processes may have granted of a limit that their record did not list, as a
   * record that lists it bounds all of its grants.
   */
  private void addRestored(String key, double capacity, long nowNanos) {
    if (restoredUntilNanos - nowNanos > 0 && restored.add(key)) {
      Duration left = Duration.ofNanos(restoredUntilNanos - nowNanos);
      ledger.add(key, restoredShareOfOthers * capacity, left, nowNanos);
    }
  }

  /** Returns the record of a slot out of which nothing more will be granted. */
  SlotRecord finalRecord(Capacities capacities, long nowNanos) {
    keys(nowNanos).forEach(key -> addRestored(key, capacities.of(key), nowNanos));
    Map<String, SlotRecord.KeyGrants> grants = new HashMap<>();
    ledger
        .bySecondsLeft(nowNanos)
        .forEach((key, amounts) -> grants.put(key, new SlotRecord.KeyGrants(0, amounts)));
    return new SlotRecord("", 0, restoredShareAt(nowNanos), grants);
  }

  /**
   * Applies the ceilings of the latest record, which the store has confirmed. Earlier ones whose
   * outcome is unknown can no longer be written.
   */
  void onRecorded() {
    recorded = unconfirmed.get(unconfirmed.size() - 1);
    unconfirmed.clear();
  }

  /** Part of each limit that one slot contains. */
  @FunctionalInterface
  interface Capacities {

    /** Returns the capacity for a key; 0 for an unknown one. */
    double of(String key);
  }
}
