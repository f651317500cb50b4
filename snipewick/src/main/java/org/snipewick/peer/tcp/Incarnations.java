package org.snipewick.peer.tcp;

import java.util.HashMap;
import java.util.Map;
import org.snipewick.identity.InstanceId;

/** Newest process seen of each peer, so that a replaced one is not listened to; event loop only. */
final class Incarnations {
  private final Map<InstanceId, Long> newest = new HashMap<>();

  /** Notes an incarnation; false if a newer one has been seen. */
  boolean accept(InstanceId peer, long incarnation) {
    return newest.merge(peer, incarnation, Math::max) == incarnation;
  }
}
