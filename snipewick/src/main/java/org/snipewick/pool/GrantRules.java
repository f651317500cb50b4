package org.snipewick.pool;

import static java.util.Objects.requireNonNull;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;
import org.snipewick.identity.EndpointId;
import org.snipewick.identity.Tier;
import org.snipewick.pool.policy.EndpointModel;
import org.snipewick.pool.policy.Forecast;
import org.snipewick.pool.policy.QueuedRequest;
import org.snipewick.pool.policy.RunningRequest;

/** Rules that select the endpoints which a request may be granted, by capacity and deadline. */
final class GrantRules {
  /** On endpoints with fewer slots, none are reserved for the highest tier. */
  private static final int MIN_SLOTS_FOR_RESERVATION = 4;

  /** Share of the KV memory of an endpoint that prompts and outputs may fill. */
  private static final double MAX_KV_SHARE = 0.95;

  private final PoolPolicy policy;
  private final SchedulerSettings settings;
  private final Forecast conservative;
  private final Forecast optimistic;

  /**
   * Creates rules.
   *
   * @param conservative forecasts used while other requests of the same or a higher tier wait
   * @param optimistic forecasts used while no such request waits
   */
  GrantRules(
      PoolPolicy policy, SchedulerSettings settings, Forecast conservative, Forecast optimistic) {
    this.policy = requireNonNull(policy, "policy");
    this.settings = requireNonNull(settings, "settings");
    this.conservative = requireNonNull(conservative, "conservative");
    this.optimistic = requireNonNull(optimistic, "optimistic");
  }

  /** Chooses an endpoint with free capacity that would finish the request in time, if any. */
  Optional<EndpointModel> choose(
      Collection<EndpointModel> endpoints,
      QueuedRequest waiting,
      Set<EndpointId> reserved,
      boolean contended,
      long nowNanos) {
    List<EndpointModel> candidates =
        candidates(endpoints, waiting.work().tier(), nowNanos).stream()
            .filter(each -> !reserved.contains(each.id()))
            .filter(each -> hasCapacity(each, waiting))
            .filter(each -> meetsDeadline(each, waiting, contended, nowNanos))
            .toList();
    return policy.placement().choose(candidates, waiting, conservative, nowNanos);
  }

  /** Returns whether an unreserved endpoint that serves a tier has a free slot for it. */
  boolean hasFreeSlot(Collection<EndpointModel> endpoints, Tier tier, Set<EndpointId> reserved) {
    return endpoints.stream()
        .anyMatch(
            each -> each.serves(tier) && !reserved.contains(each.id()) && hasSlot(each, tier));
  }

  /**
   * Returns the endpoints to reserve for a waiting request: those that would finish it in time at
   * their present load, or the one with the shortest service time if there are none.
   */
  List<EndpointModel> endpointsToReserve(
      Collection<EndpointModel> endpoints,
      QueuedRequest waiting,
      boolean contended,
      long nowNanos) {
    Forecast forecast = contended ? conservative : optimistic;
    double remaining = waiting.remainingMillis(nowNanos);
    ToDoubleFunction<EndpointModel> serviceMillis =
        each -> forecast.promptAdjustedServiceMillis(each, waiting.work(), nowNanos);
    List<EndpointModel> candidates = candidates(endpoints, waiting.work().tier(), nowNanos);
    List<EndpointModel> inTime =
        candidates.stream()
            .filter(each -> policy.admission().admits(serviceMillis.applyAsDouble(each), remaining))
            .toList();
    return inTime.isEmpty()
        ? candidates.stream().min(Comparator.comparingDouble(serviceMillis)).stream().toList()
        : inTime;
  }

  /** Returns whether some endpoint could finish a request in time if it were idle. */
  boolean canFinishOnIdleEndpoint(
      Collection<EndpointModel> endpoints, QueuedRequest waiting, long nowNanos) {
    return endpoints.stream()
        .filter(each -> each.serves(waiting.work().tier()))
        .anyMatch(
            each ->
                policy
                    .admission()
                    .admits(
                        optimistic.idleServiceMillis(each, waiting.work(), nowNanos),
                        waiting.remainingMillis(nowNanos)));
  }

  /**
   * Returns whether some endpoint, at its present load, could finish a request in time after a wait
   * of {@code waitMillis} milliseconds.
   */
  boolean canFinishAfterWait(
      double waitMillis,
      Collection<EndpointModel> endpoints,
      QueuedRequest waiting,
      boolean contended,
      long nowNanos) {
    double remaining = waiting.remainingMillis(nowNanos) - waitMillis;
    Forecast forecast = contended ? conservative : optimistic;
    return remaining > 0
        && endpoints.stream()
            .filter(each -> each.serves(waiting.work().tier()))
            .anyMatch(
                each ->
                    policy
                        .admission()
                        .admits(forecast.serviceMillis(each, waiting.work(), nowNanos), remaining));
  }

  /** Returns the endpoints that serve a tier; stragglers and stalled ones only if all are such. */
  private List<EndpointModel> candidates(
      Collection<EndpointModel> endpoints, Tier tier, long nowNanos) {
    List<EndpointModel> serving = endpoints.stream().filter(each -> each.serves(tier)).toList();
    Predicate<EndpointModel> healthy =
        each -> !each.speed().isStraggler(nowNanos) && !each.isStalled(nowNanos);
    List<EndpointModel> healthyEndpoints = serving.stream().filter(healthy).toList();
    return healthyEndpoints.isEmpty() ? serving : healthyEndpoints;
  }

  private boolean hasCapacity(EndpointModel endpoint, QueuedRequest waiting) {
    return hasSlot(endpoint, waiting.work().tier()) && hasKvMemory(endpoint, waiting);
  }

  private boolean hasSlot(EndpointModel endpoint, Tier tier) {
    int slots = endpoint.slots();
    int reservedSlots =
        tier == Tier.ONE || slots < MIN_SLOTS_FOR_RESERVATION
            ? 0
            : (int) (slots * settings.reservedSlotShare());
    return endpoint.batchSize() < slots - reservedSlots;
  }

  private boolean hasKvMemory(EndpointModel endpoint, QueuedRequest waiting) {
    long capacityTokens = endpoint.status().maxKvTokens();
    if (capacityTokens <= 0 || endpoint.batchSize() == 0) {
      return true;
    }
    double usedTokens = waiting.work().promptTokens();
    for (RunningRequest each : endpoint.running()) {
      usedTokens += each.work().promptTokens() + each.outputTokens();
    }
    return usedTokens <= MAX_KV_SHARE * capacityTokens;
  }

  private boolean meetsDeadline(
      EndpointModel endpoint, QueuedRequest waiting, boolean contended, long nowNanos) {
    Forecast forecast = contended ? conservative : optimistic;
    double finishMillis = forecast.promptAdjustedFinishMillis(endpoint, waiting.work(), nowNanos);
    return policy.admission().admits(finishMillis, waiting.remainingMillis(nowNanos))
        && (!policy.admission().protectsRunningDeadlines()
            || optimistic.keepsRunningOnTime(endpoint, waiting.work(), nowNanos));
  }
}
