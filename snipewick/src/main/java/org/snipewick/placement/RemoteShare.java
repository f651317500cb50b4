package org.snipewick.placement;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import org.snipewick.identity.FailureDomain;

/**
 * Part of the free slots of each other failure domain that a broker may use until it receives newer
 * counts. All brokers see the same free slots some hundred milliseconds late; if each could use all
 * of them, they would fill the domain several times over. Not thread-safe.
 */
final class RemoteShare {
  private final Map<FailureDomain, Integer> left = new HashMap<>();
  private int brokers;
  private boolean isOutdated = true;

  /** Sets that this instance places its own requests only, which nothing bounds. */
  void setUnbounded() {
    brokers = 0;
  }

  /** Sets the number of brokers that may use the free slots of a domain. */
  void setBrokers(int count) {
    isOutdated |= brokers == 0;
    brokers = count;
  }

  /** Returns whether this instance places requests of a failure domain. */
  boolean isBounded() {
    return brokers > 0;
  }

  /** Handles newer counts, by which the parts are calculated again. */
  void onPeersInFlight() {
    isOutdated = true;
  }

  /** Calculates the parts if there are newer counts. */
  void refresh(Collection<EndpointLoad> endpoints, long nowNanos) {
    if (brokers == 0 || !isOutdated) {
      return;
    }
    isOutdated = false;
    left.clear();
    for (EndpointLoad load : endpoints) {
      if (load.isAvailable(nowNanos)) {
        left.merge(load.endpoint().domain(), Math.max(0, load.freeSlots(nowNanos)), Integer::sum);
      }
    }
    left.replaceAll((domain, free) -> free / brokers);
  }

  /** Returns whether a request may be placed in another domain. */
  boolean isLeft(FailureDomain domain) {
    return brokers == 0 || left.getOrDefault(domain, 0) > 0;
  }

  /** Counts a request that is placed in another domain. */
  void countPlaced(FailureDomain domain) {
    left.computeIfPresent(domain, (name, free) -> free - 1);
  }
}
