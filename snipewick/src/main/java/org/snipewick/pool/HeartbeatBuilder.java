package org.snipewick.pool;

import java.util.ArrayList;
import java.util.List;
import org.snipewick.identity.InstanceId;
import org.snipewick.identity.PoolName;

/** Collects the requests that one heartbeat to a scheduler lists. */
final class HeartbeatBuilder {
  private final List<Long> waiting = new ArrayList<>();
  private final List<Long> running = new ArrayList<>();
  private final List<Integer> outputTokens = new ArrayList<>();

  /** Recipient of a heartbeat, with the pool and the incarnation of its requests. */
  record Target(InstanceId scheduler, PoolName pool, long incarnation) {}

  void add(PendingRequest request) {
    long sequence = request.work().id().sequence();
    if (request.isWaiting()) {
      waiting.add(sequence);
    } else {
      running.add(sequence);
      outputTokens.add(request.permit().orElseThrow().outputTokens());
    }
  }

  PoolMessages.Heartbeat build(Target target) {
    return new PoolMessages.Heartbeat(
        target.pool(), target.incarnation(), waiting, running, outputTokens);
  }
}
