package org.snipewick.pool;

import static java.util.Objects.requireNonNull;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.snipewick.failure.FailureType;
import org.snipewick.identity.EndpointId;
import org.snipewick.identity.Tier;
import org.snipewick.pool.policy.EndpointModel;
import org.snipewick.pool.policy.QueuedRequest;
import org.snipewick.pool.policy.RunningRequest;

/**
 * One pass over a scheduler's queue: grants requests to endpoints with free capacity, refuses those
 * that no endpoint serves, then sheds those that cannot meet their deadline.
 */
final class DecisionPass {
  /**
   * Number of waiting requests of a tier for which a pass may find no endpoint before it continues
   * with the next tier; bounds the time that a pass takes.
   */
  private static final int MAX_UNGRANTED_PER_TIER = 64;

  private static final long MIN_RETRY_AFTER_MILLIS = 200;
  private static final long MAX_RETRY_AFTER_MILLIS = 60_000;
  private static final long NO_ENDPOINT_RETRY_AFTER_MILLIS = 1_000;

  private final PoolState state;
  private final GrantRules rules;
  private final long grantValidMillis;
  private final long nowNanos;
  private final List<Decision> decisions;

  DecisionPass(
      PoolState state,
      GrantRules rules,
      long grantValidMillis,
      long nowNanos,
      List<Decision> decisions) {
    this.state = requireNonNull(state, "state");
    this.rules = requireNonNull(rules, "rules");
    this.grantValidMillis = grantValidMillis;
    this.nowNanos = nowNanos;
    this.decisions = requireNonNull(decisions, "decisions");
  }

  /**
   * Returns a refusal for a new request that no endpoint serves, or that none could finish in time
   * at its present load even if the request were granted at once; empty if one could.
   */
  Optional<Decision> refusalOnArrival(QueuedRequest waiting) {
    boolean isServed =
        state.endpoints().stream().anyMatch(each -> each.serves(waiting.work().tier()));
    if (!isServed) {
      return Optional.of(refusal(waiting, FailureType.NO_ENDPOINT, NO_ENDPOINT_RETRY_AFTER_MILLIS));
    }
    boolean contended = countWaitingAtOrAbove(waiting.work().tier()) > 0;
    return rules.canFinishOnIdleEndpoint(state.endpoints(), waiting, nowNanos)
            && rules.canFinishAfterWait(0, state.endpoints(), waiting, contended, nowNanos)
        ? Optional.empty()
        : Optional.of(
            refusal(waiting, FailureType.DEADLINE_UNREACHABLE, retryAfterMillis(waiting, 0)));
  }

  void run() {
    grantAll();
    refuseUnserved();
    shedLate();
  }

  /**
   * Grants requests from the highest tier to the lowest. Endpoints that suit a request without a
   * grant are reserved: lower tiers are not granted them in this pass.
   */
  private void grantAll() {
    Set<EndpointId> reserved = new HashSet<>();
    for (Tier tier : Tier.values()) {
      Set<EndpointId> toReserve = new HashSet<>();
      int ungranted = 0;
      for (QueuedRequest waiting : state.queue.inOrder(tier)) {
        if (ungranted >= MAX_UNGRANTED_PER_TIER
            || !rules.hasFreeSlot(state.endpoints(), tier, reserved)) {
          break;
        }
        if (!tryGrant(waiting, reserved)) {
          ungranted++;
          rules
              .endpointsToReserve(state.endpoints(), waiting, isContended(waiting), nowNanos)
              .forEach(endpoint -> toReserve.add(endpoint.id()));
        }
      }
      reserved.addAll(toReserve);
    }
  }

  private boolean tryGrant(QueuedRequest waiting, Set<EndpointId> reserved) {
    Optional<EndpointModel> chosen =
        rules.choose(state.endpoints(), waiting, reserved, isContended(waiting), nowNanos);
    chosen.ifPresent(endpoint -> grant(waiting, endpoint));
    return chosen.isPresent();
  }

  private void grant(QueuedRequest waiting, EndpointModel endpoint) {
    double uncachedTokens = endpoint.uncachedTokens(waiting.work());
    final RunningRequest running =
        new RunningRequest(
            waiting.work(),
            nowNanos,
            waiting.deadlineNanos(),
            uncachedTokens,
            endpoint.prefillBacklogTokens() + uncachedTokens);
    state.queue.remove(waiting.work().id());
    state.queue.recordGrant(waiting);
    if (waiting.arrivalNanos() < nowNanos || !state.queue.isEmpty()) {
      state.drainRate.recordGrant(waiting.costTokens());
    }
    state.addGranted(endpoint, running);
    decisions.add(new Decision.Grant(waiting.work().id(), endpoint.id(), grantValidMillis));
  }

  /** Returns whether another request waits in the same or a higher tier. */
  private boolean isContended(QueuedRequest waiting) {
    return countWaitingAtOrAbove(waiting.work().tier()) > 1;
  }

  private int countWaitingAtOrAbove(Tier lowest) {
    int count = 0;
    for (Tier tier : Tier.values()) {
      if (!lowest.isHigherThan(tier)) {
        count += state.queue.size(tier);
      }
    }
    return count;
  }

  private void refuseUnserved() {
    for (QueuedRequest waiting : state.queue.all()) {
      if (state.endpoints().stream().noneMatch(each -> each.serves(waiting.work().tier()))) {
        state.queue.remove(waiting.work().id());
        decisions.add(refusal(waiting, FailureType.NO_ENDPOINT, NO_ENDPOINT_RETRY_AFTER_MILLIS));
      }
    }
  }

  private void shedLate() {
    double costTokensAhead = 0;
    for (Tier tier : Tier.values()) {
      for (QueuedRequest waiting : state.queue.inOrder(tier)) {
        if (canMeetDeadline(waiting, costTokensAhead)) {
          costTokensAhead += waiting.costTokens();
        } else {
          shedLowerTiers(tier);
          shed(waiting, costTokensAhead);
        }
      }
    }
  }

  /**
   * Returns whether a waiting request can still meet its deadline. While requests of lower tiers
   * wait, the forecast of its wait is taken as 0, since they would all be shed before it.
   */
  private boolean canMeetDeadline(QueuedRequest waiting, double costTokensAhead) {
    Tier tier = waiting.work().tier();
    boolean lowerTierWaits = !state.queue.lowerTiersInShedOrder(tier).isEmpty();
    double waitMillis =
        lowerTierWaits ? 0 : state.drainRate.waitMillis(tier, costTokensAhead, nowNanos);
    boolean contended = !lowerTierWaits && isContended(waiting);
    return rules.canFinishAfterWait(waitMillis, state.endpoints(), waiting, contended, nowNanos);
  }

  private void shedLowerTiers(Tier tier) {
    for (QueuedRequest lower : state.queue.lowerTiersInShedOrder(tier)) {
      shed(lower, 0);
    }
  }

  private void shed(QueuedRequest waiting, double costTokensAhead) {
    state.queue.remove(waiting.work().id());
    state.lastShedNanos.put(waiting.work().tier(), nowNanos);
    decisions.add(refusal(waiting, FailureType.SHED, retryAfterMillis(waiting, costTokensAhead)));
  }

  private long retryAfterMillis(QueuedRequest waiting, double costTokensAhead) {
    double waitMillis =
        state.drainRate.waitMillis(
            waiting.work().tier(), costTokensAhead + waiting.costTokens(), nowNanos);
    return Math.min(MAX_RETRY_AFTER_MILLIS, Math.max(MIN_RETRY_AFTER_MILLIS, (long) waitMillis));
  }

  private static Decision refusal(
      QueuedRequest waiting, FailureType reason, long retryAfterMillis) {
    return new Decision.Refuse(waiting.work().id(), reason, retryAfterMillis);
  }
}
