package org.snipewick.pool;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import java.util.function.Supplier;
import org.snipewick.identity.RequestId;
import org.snipewick.identity.Tier;
import org.snipewick.pool.policy.Ordering;
import org.snipewick.pool.policy.Waiting;

/** Waiting requests of one scheduler, by tier and in order within each tier. */
final class WaitingQueue {
  private static final Comparator<Waiting> IN_ORDER =
      Comparator.comparingDouble(Waiting::order)
          .thenComparingLong(Waiting::arrivalNanos)
          .thenComparing(waiting -> waiting.work().id().instance())
          .thenComparingLong(waiting -> waiting.work().id().incarnation())
          .thenComparingLong(waiting -> waiting.work().id().sequence());

  private final Supplier<Ordering> orderings;
  private final Map<Tier, Ordering> ordering = new EnumMap<>(Tier.class);
  private final Map<Tier, TreeSet<Waiting>> tiers = new EnumMap<>(Tier.class);
  private final Map<RequestId, Waiting> byId = new HashMap<>();

  WaitingQueue(Supplier<Ordering> orderings) {
    this.orderings = orderings;
    for (Tier tier : Tier.values()) {
      ordering.put(tier, orderings.get());
      tiers.put(tier, new TreeSet<>(IN_ORDER));
    }
  }

  void add(Waiting waiting) {
    Waiting placed = place(waiting);
    tiers.get(placed.work().tier()).add(placed);
    byId.put(placed.work().id(), placed);
  }

  Optional<Waiting> remove(RequestId id) {
    Optional<Waiting> removed = Optional.ofNullable(byId.remove(id));
    removed.ifPresent(waiting -> tiers.get(waiting.work().tier()).remove(waiting));
    return removed;
  }

  void granted(Waiting waiting) {
    ordering.get(waiting.work().tier()).granted(waiting.order());
  }

  boolean contains(RequestId id) {
    return byId.containsKey(id);
  }

  boolean isEmpty() {
    return byId.isEmpty();
  }

  int size(Tier tier) {
    return tiers.get(tier).size();
  }

  List<Waiting> inOrder(Tier tier) {
    return List.copyOf(tiers.get(tier));
  }

  /** Lists what is lower than a tier, in the order in which it is shed: lowest, then latest. */
  List<Waiting> shedBefore(Tier tier) {
    List<Waiting> result = new ArrayList<>();
    for (int number = Tier.values().length; number > tier.number(); number--) {
      result.addAll(tiers.get(Tier.of(number)).descendingSet());
    }
    return result;
  }

  List<Waiting> all() {
    List<Waiting> result = new ArrayList<>();
    tiers.values().forEach(result::addAll);
    return result;
  }

  /** Gives all requests new places in the order in which they came to the system. */
  void reorderByArrival() {
    List<Waiting> waiting = all();
    waiting.sort(Comparator.comparingLong(Waiting::arrivalNanos));
    byId.clear();
    for (Tier tier : Tier.values()) {
      ordering.put(tier, orderings.get());
      tiers.get(tier).clear();
    }
    waiting.forEach(this::add);
  }

  private Waiting place(Waiting waiting) {
    Ordering order = ordering.get(waiting.work().tier());
    return waiting.withOrder(order.place(waiting.work(), waiting.cost(), waiting.arrivalNanos()));
  }
}
