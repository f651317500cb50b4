package org.snipewick.peer.tcp;

import java.util.HashMap;
import java.util.Map;
import org.snipewick.identity.InstanceId;

/**
 * Newest incarnation seen of each peer, so that messages of a replaced process can be refused. Used
 * on the event loop only.
 */
final class Incarnations {
  private final Map<InstanceId, Long> newest = new HashMap<>();

  /** Records an incarnation. Returns false if a newer one of the peer has been seen. */
  boolean accept(InstanceId peer, long incarnation) {
    return newest.merge(peer, incarnation, Math::max) == incarnation;
  }
}
