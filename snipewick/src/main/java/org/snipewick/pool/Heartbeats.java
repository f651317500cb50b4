package org.snipewick.pool;

import java.util.ArrayList;
import java.util.List;
import org.snipewick.identity.InstanceId;
import org.snipewick.identity.PoolName;

/** Gathers what one heartbeat to a scheduler says. */
final class Heartbeats {
  private final List<Long> waiting = new ArrayList<>();
  private final List<Long> running = new ArrayList<>();
  private final List<Integer> outputTokens = new ArrayList<>();

  /** Where a heartbeat goes and what it is about. */
  record Target(InstanceId scheduler, PoolName pool, long incarnation) {}

  void add(PendingWork work) {
    long sequence = work.work().id().sequence();
    if (work.isWaiting()) {
      waiting.add(sequence);
    } else {
      running.add(sequence);
      outputTokens.add(work.permit().orElseThrow().outputTokens());
    }
  }

  PoolMessages.Heartbeat message(Target target) {
    return new PoolMessages.Heartbeat(
        target.pool(), target.incarnation(), waiting, running, outputTokens);
  }
}
