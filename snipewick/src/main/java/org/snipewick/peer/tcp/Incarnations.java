package org.snipewick.peer.tcp;

import java.util.HashMap;
import java.util.Map;
import org.snipewick.identity.InstanceId;

/**
 * Newest known incarnation of each peer, by which messages of an older process are recognized. An
 * incarnation is a number that is higher for each later process of an instance. Used on the event
 * loop only.
 */
final class Incarnations {
  private final Map<InstanceId, Long> newest = new HashMap<>();

  /** Records an incarnation. Returns false if a newer one of the peer is known. */
  boolean accept(InstanceId peer, long incarnation) {
    return newest.merge(peer, incarnation, Math::max) == incarnation;
  }
}
