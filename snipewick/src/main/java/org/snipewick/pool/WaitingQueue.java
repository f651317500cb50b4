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
import org.snipewick.pool.policy.QueuedRequest;

/** Queue of the waiting requests of one scheduler, by tier and ordered within each tier. */
final class WaitingQueue {
  private static final Comparator<QueuedRequest> QUEUE_ORDER =
      Comparator.comparingDouble(QueuedRequest::position)
          .thenComparingLong(QueuedRequest::arrivalNanos)
          .thenComparing(waiting -> waiting.work().id().instance())
          .thenComparingLong(waiting -> waiting.work().id().incarnation())
          .thenComparingLong(waiting -> waiting.work().id().sequence());

  private final Supplier<Ordering> orderingFactory;
  private final Map<Tier, Ordering> orderingByTier = new EnumMap<>(Tier.class);
  private final Map<Tier, TreeSet<QueuedRequest>> waitingByTier = new EnumMap<>(Tier.class);
  private final Map<RequestId, QueuedRequest> byId = new HashMap<>();

  WaitingQueue(Supplier<Ordering> orderingFactory) {
    this.orderingFactory = orderingFactory;
    for (Tier tier : Tier.values()) {
      orderingByTier.put(tier, orderingFactory.get());
      waitingByTier.put(tier, new TreeSet<>(QUEUE_ORDER));
    }
  }

  void add(QueuedRequest waiting) {
    QueuedRequest positioned = withAssignedPosition(waiting);
    waitingByTier.get(positioned.work().tier()).add(positioned);
    byId.put(positioned.work().id(), positioned);
  }

  Optional<QueuedRequest> remove(RequestId id) {
    Optional<QueuedRequest> removed = Optional.ofNullable(byId.remove(id));
    removed.ifPresent(waiting -> waitingByTier.get(waiting.work().tier()).remove(waiting));
    return removed;
  }

  void recordGrant(QueuedRequest waiting) {
    orderingByTier.get(waiting.work().tier()).recordGrant(waiting.position());
  }

  boolean contains(RequestId id) {
    return byId.containsKey(id);
  }

  boolean isEmpty() {
    return byId.isEmpty();
  }

  int size(Tier tier) {
    return waitingByTier.get(tier).size();
  }

  List<QueuedRequest> inOrder(Tier tier) {
    return List.copyOf(waitingByTier.get(tier));
  }

  /**
   * Returns all requests of lower tiers in shedding order: lowest tier first, then last in queue
   * first.
   */
  List<QueuedRequest> lowerTiersInShedOrder(Tier tier) {
    List<QueuedRequest> result = new ArrayList<>();
    for (int number = Tier.values().length; number > tier.number(); number--) {
      result.addAll(waitingByTier.get(Tier.of(number)).descendingSet());
    }
    return result;
  }

  List<QueuedRequest> all() {
    List<QueuedRequest> result = new ArrayList<>();
    waitingByTier.values().forEach(result::addAll);
    return result;
  }

  /** Assigns all requests new positions, in the order of their arrival in the system. */
  void reorderByArrival() {
    List<QueuedRequest> waiting = all();
    waiting.sort(Comparator.comparingLong(QueuedRequest::arrivalNanos));
    byId.clear();
    for (Tier tier : Tier.values()) {
      orderingByTier.put(tier, orderingFactory.get());
      waitingByTier.get(tier).clear();
    }
    waiting.forEach(this::add);
  }

  private QueuedRequest withAssignedPosition(QueuedRequest waiting) {
    Ordering order = orderingByTier.get(waiting.work().tier());
    return waiting.withPosition(
        order.assignPosition(waiting.work(), waiting.costTokens(), waiting.arrivalNanos()));
  }
}
