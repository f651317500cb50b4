package org.snipewick.pool;

import static java.util.Objects.requireNonNull;

import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.snipewick.event.EventLog;
import org.snipewick.event.EventType;
import org.snipewick.failure.FailureType;
import org.snipewick.identity.FailureDomain;
import org.snipewick.identity.InstanceId;
import org.snipewick.identity.PoolName;
import org.snipewick.identity.RequestId;
import org.snipewick.identity.Tier;

/**
 * Logs queue changes and decisions of the schedulers of one instance. {@link TierOrderCheck}
 * verifies the shedding order of tiers from these events.
 */
final class DecisionEvents {
  static final String POOL = "pool";
  static final String DOMAIN = "domain";
  static final String TIER = "tier";
  static final String STATE = "state";
  static final String REASON = "reason";
  static final String WAITING = "waiting";
  static final String LEFT = "left";
  static final String DECISION = "decision";

  private final EventLog log;
  private final FailureDomain domain;
  private final Map<RequestId, Queued> waiting = new HashMap<>();

  private record Queued(PoolName pool, Tier tier) {}

  DecisionEvents(EventLog log, FailureDomain domain) {
    this.log = requireNonNull(log, "log");
    this.domain = requireNonNull(domain, "domain");
  }

  void onQueued(WorkRequest work) {
    if (waiting.putIfAbsent(work.id(), new Queued(work.pool(), work.tier())) == null) {
      recordQueueChange(work.pool(), work.id(), work.tier(), WAITING);
    }
  }

  void onWithdrawn(PoolName pool, RequestId id) {
    Queued queued = waiting.remove(id);
    if (queued != null) {
      recordQueueChange(pool, id, queued.tier(), LEFT);
    }
  }

  void onEntryInstanceFailed(PoolName pool, InstanceId entry) {
    List.copyOf(waiting.entrySet()).stream()
        .filter(each -> each.getKey().instance().equals(entry))
        .filter(each -> each.getValue().pool().equals(pool))
        .forEach(each -> onWithdrawn(pool, each.getKey()));
  }

  void onDecided(PoolName pool, Decision decision, DecisionInputs inputs) {
    Map<String, Object> details = inputs.toDetails();
    details.put(POOL, pool.value());
    details.put(DECISION, nameOf(decision));
    if (decision instanceof Decision.Refuse refused) {
      details.put(REASON, refused.reason().name());
      details.put("retryAfterMillis", refused.retryAfterMillis());
    } else if (decision instanceof Decision.Cancel cancelled) {
      details.put(REASON, cancelled.reason().name());
    }
    log.record(EventType.SCHEDULER_DECIDED, decision.request().toString(), details);
    recordRemoval(pool, decision);
  }

  private static String nameOf(Decision decision) {
    return decision.getClass().getSimpleName().toLowerCase(Locale.ROOT);
  }

  private void recordRemoval(PoolName pool, Decision decision) {
    if (!(decision instanceof Decision.Refuse refuse) || refuse.reason() != FailureType.SHED) {
      onWithdrawn(pool, decision.request());
      return;
    }
    Queued queued = waiting.remove(decision.request());
    if (queued != null) {
      log.record(
          EventType.REQUEST_SHED,
          decision.request().toString(),
          Map.of(
              POOL,
              pool.value(),
              DOMAIN,
              domain.value(),
              TIER,
              queued.tier().number(),
              REASON,
              refuse.reason().name()));
    }
  }

  private void recordQueueChange(PoolName pool, RequestId id, Tier tier, String state) {
    log.record(
        EventType.REQUEST_QUEUED,
        id.toString(),
        Map.of(POOL, pool.value(), DOMAIN, domain.value(), TIER, tier.number(), STATE, state));
  }
}
