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
import org.snipewick.pool.policy.Running;
import org.snipewick.pool.policy.Waiting;

/** One pass over a scheduler's queue: grants what has room, then sheds what cannot be in time. */
final class DecisionPass {
  private static final int TRIES_PER_TIER = 64;
  private static final long LEAST_RETRY_MILLIS = 200;
  private static final long MOST_RETRY_MILLIS = 60_000;
  private static final long NO_ENDPOINT_RETRY_MILLIS = 1_000;

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

  /** Refuses a new request that no endpoint, as busy as it is, could serve even without a wait. */
  Optional<Decision> impossible(Waiting waiting) {
    boolean served =
        state.endpoints().stream().anyMatch(each -> each.serves(waiting.work().tier()));
    if (!served) {
      return Optional.of(refusal(waiting, FailureType.NO_ENDPOINT, NO_ENDPOINT_RETRY_MILLIS));
    }
    boolean pressed = waitingUpTo(waiting.work().tier()) > 0;
    return rules.couldFinishAlone(state.endpoints(), waiting, nowNanos)
            && rules.couldFinishAfter(0, state.endpoints(), waiting, pressed, nowNanos)
        ? Optional.empty()
        : Optional.of(refusal(waiting, FailureType.DEADLINE_UNREACHABLE, retryMillis(waiting, 0)));
  }

  void run() {
    grantAll();
    refuseUnserved();
    shedLate();
  }

  private void grantAll() {
    Set<EndpointId> reserved = new HashSet<>();
    for (Tier tier : Tier.values()) {
      Set<EndpointId> wanted = new HashSet<>();
      int misses = 0;
      for (Waiting waiting : state.queue.inOrder(tier)) {
        if (misses >= TRIES_PER_TIER || !rules.hasAnySlot(state.endpoints(), tier, reserved)) {
          break;
        }
        if (!grant(waiting, reserved)) {
          misses++;
          rules
              .wanted(state.endpoints(), waiting, isPressed(waiting), nowNanos)
              .forEach(endpoint -> wanted.add(endpoint.id()));
        }
      }
      reserved.addAll(wanted);
    }
  }

  private boolean grant(Waiting waiting, Set<EndpointId> reserved) {
    Optional<EndpointModel> choice =
        rules.choose(state.endpoints(), waiting, reserved, isPressed(waiting), nowNanos);
    choice.ifPresent(endpoint -> grant(waiting, endpoint));
    return choice.isPresent();
  }

  private void grant(Waiting waiting, EndpointModel endpoint) {
    double uncached = endpoint.uncachedTokens(waiting.work());
    final Running running =
        new Running(
            waiting.work(),
            nowNanos,
            waiting.deadlineNanos(),
            uncached,
            endpoint.prefillBacklog() + uncached);
    state.queue.remove(waiting.work().id());
    state.queue.granted(waiting);
    if (waiting.arrivalNanos() < nowNanos || !state.queue.isEmpty()) {
      state.rates.granted(waiting.cost());
    }
    state.run(endpoint, running);
    decisions.add(new Decision.Grant(waiting.work().id(), endpoint.id(), grantValidMillis));
  }

  /** Tells whether more than this request waits in its tier or above. */
  private boolean isPressed(Waiting waiting) {
    return waitingUpTo(waiting.work().tier()) > 1;
  }

  private int waitingUpTo(Tier lowest) {
    int count = 0;
    for (Tier tier : Tier.values()) {
      if (!lowest.isHigherThan(tier)) {
        count += state.queue.size(tier);
      }
    }
    return count;
  }

  private void refuseUnserved() {
    for (Waiting waiting : state.queue.all()) {
      if (state.endpoints().stream().noneMatch(each -> each.serves(waiting.work().tier()))) {
        state.queue.remove(waiting.work().id());
        decisions.add(refusal(waiting, FailureType.NO_ENDPOINT, NO_ENDPOINT_RETRY_MILLIS));
      }
    }
  }

  private void shedLate() {
    double workAhead = 0;
    for (Tier tier : Tier.values()) {
      for (Waiting waiting : state.queue.inOrder(tier)) {
        if (mayBeInTime(waiting, workAhead)) {
          workAhead += waiting.cost();
        } else {
          shedLowerThan(tier);
          shed(waiting, workAhead);
        }
      }
    }
  }

  /**
   * Tells whether a waiting request is worth keeping. While lower tiers wait, which would all be
   * shed before it, the forecast of its wait does not count.
   */
  private boolean mayBeInTime(Waiting waiting, double workAhead) {
    Tier tier = waiting.work().tier();
    boolean lowerWaits = !state.queue.shedBefore(tier).isEmpty();
    double wait = lowerWaits ? 0 : state.rates.waitMillis(tier, workAhead, nowNanos);
    boolean pressed = !lowerWaits && isPressed(waiting);
    return rules.couldFinishAfter(wait, state.endpoints(), waiting, pressed, nowNanos);
  }

  private void shedLowerThan(Tier tier) {
    for (Waiting lower : state.queue.shedBefore(tier)) {
      shed(lower, 0);
    }
  }

  private void shed(Waiting waiting, double workAhead) {
    state.queue.remove(waiting.work().id());
    state.lastShedNanos.put(waiting.work().tier(), nowNanos);
    decisions.add(refusal(waiting, FailureType.SHED, retryMillis(waiting, workAhead)));
  }

  private long retryMillis(Waiting waiting, double workAhead) {
    double wait =
        state.rates.waitMillis(waiting.work().tier(), workAhead + waiting.cost(), nowNanos);
    return Math.min(MOST_RETRY_MILLIS, Math.max(LEAST_RETRY_MILLIS, (long) wait));
  }

  private static Decision refusal(Waiting waiting, FailureType reason, long retryMillis) {
    return new Decision.Refuse(waiting.work().id(), reason, retryMillis);
  }
}
