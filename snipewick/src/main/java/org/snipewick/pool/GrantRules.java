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
import org.snipewick.pool.policy.Running;
import org.snipewick.pool.policy.Waiting;

/** Which endpoints a request may be granted, and whether it can still finish in time. */
final class GrantRules {
  private static final int LEAST_SLOTS_FOR_HEAD_ROOM = 4;
  private static final double KV_SHARE = 0.95;

  private final PoolPolicy policy;
  private final SchedulerSettings settings;
  private final Forecast safe;
  private final Forecast likely;

  /**
   * Creates rules.
   *
   * @param safe forecasts used under pressure
   * @param likely forecasts used while nothing else waits
   */
  GrantRules(PoolPolicy policy, SchedulerSettings settings, Forecast safe, Forecast likely) {
    this.policy = requireNonNull(policy, "policy");
    this.settings = requireNonNull(settings, "settings");
    this.safe = requireNonNull(safe, "safe");
    this.likely = requireNonNull(likely, "likely");
  }

  /** Chooses an endpoint with room that would finish the request in time. */
  Optional<EndpointModel> choose(
      Collection<EndpointModel> endpoints,
      Waiting waiting,
      Set<EndpointId> reserved,
      boolean pressure,
      long nowNanos) {
    List<EndpointModel> candidates =
        suitable(endpoints, waiting.work().tier(), nowNanos).stream()
            .filter(each -> !reserved.contains(each.id()))
            .filter(each -> hasRoom(each, waiting))
            .filter(each -> finishesInTime(each, waiting, pressure, nowNanos))
            .toList();
    return policy.placement().choose(candidates, waiting, safe, nowNanos);
  }

  /** Tells whether some endpoint that serves a tier has a free slot for it. */
  boolean hasAnySlot(Collection<EndpointModel> endpoints, Tier tier, Set<EndpointId> reserved) {
    return endpoints.stream()
        .anyMatch(
            each -> each.serves(tier) && !reserved.contains(each.id()) && hasSlot(each, tier));
  }

  /**
   * Lists endpoints that a waiting request is to get first: those that would finish it in time at
   * their present load, or else the one that comes closest.
   */
  List<EndpointModel> wanted(
      Collection<EndpointModel> endpoints, Waiting waiting, boolean pressure, long nowNanos) {
    Forecast forecast = pressure ? safe : likely;
    double remaining = waiting.remainingMillis(nowNanos);
    ToDoubleFunction<EndpointModel> busy =
        each -> forecast.lateBusyMillis(each, waiting.work(), nowNanos);
    List<EndpointModel> suitable = suitable(endpoints, waiting.work().tier(), nowNanos);
    List<EndpointModel> inTime =
        suitable.stream()
            .filter(each -> policy.admission().inTime(busy.applyAsDouble(each), remaining))
            .toList();
    return inTime.isEmpty()
        ? suitable.stream().min(Comparator.comparingDouble(busy)).stream().toList()
        : inTime;
  }

  /** Tells whether some endpoint could finish a request in time if it had nothing else to do. */
  boolean couldFinishAlone(Collection<EndpointModel> endpoints, Waiting waiting, long nowNanos) {
    return endpoints.stream()
        .filter(each -> each.serves(waiting.work().tier()))
        .anyMatch(
            each ->
                policy
                    .admission()
                    .inTime(
                        likely.idleMillis(each, waiting.work(), nowNanos),
                        waiting.remainingMillis(nowNanos)));
  }

  /** Tells whether some endpoint, as busy as it is, could finish a request after a wait. */
  boolean couldFinishAfter(
      double waitMillis,
      Collection<EndpointModel> endpoints,
      Waiting waiting,
      boolean pressure,
      long nowNanos) {
    double remaining = waiting.remainingMillis(nowNanos) - waitMillis;
    Forecast forecast = pressure ? safe : likely;
    return remaining > 0
        && endpoints.stream()
            .filter(each -> each.serves(waiting.work().tier()))
            .anyMatch(
                each ->
                    policy
                        .admission()
                        .inTime(forecast.busyMillis(each, waiting.work(), nowNanos), remaining));
  }

  private List<EndpointModel> suitable(
      Collection<EndpointModel> endpoints, Tier tier, long nowNanos) {
    List<EndpointModel> serving = endpoints.stream().filter(each -> each.serves(tier)).toList();
    Predicate<EndpointModel> healthy =
        each -> !each.speed().isStraggler(nowNanos) && !each.isStalled(nowNanos);
    List<EndpointModel> sound = serving.stream().filter(healthy).toList();
    return sound.isEmpty() ? serving : sound;
  }

  private boolean hasRoom(EndpointModel endpoint, Waiting waiting) {
    return hasSlot(endpoint, waiting.work().tier()) && hasMemory(endpoint, waiting);
  }

  private boolean hasSlot(EndpointModel endpoint, Tier tier) {
    int slots = endpoint.slots();
    int kept =
        tier == Tier.ONE || slots < LEAST_SLOTS_FOR_HEAD_ROOM
            ? 0
            : (int) (slots * settings.headRoomShare());
    return endpoint.batch() < slots - kept;
  }

  private boolean hasMemory(EndpointModel endpoint, Waiting waiting) {
    long size = endpoint.status().maxKvTokens();
    if (size <= 0 || endpoint.batch() == 0) {
      return true;
    }
    double held = waiting.work().promptTokens();
    for (Running each : endpoint.running()) {
      held += each.work().promptTokens() + each.outputTokens();
    }
    return held <= KV_SHARE * size;
  }

  private boolean finishesInTime(
      EndpointModel endpoint, Waiting waiting, boolean pressure, long nowNanos) {
    Forecast forecast = pressure ? safe : likely;
    double finish = forecast.lateFinishMillis(endpoint, waiting.work(), nowNanos);
    return policy.admission().inTime(finish, waiting.remainingMillis(nowNanos))
        && (!policy.admission().regardsDeadlines()
            || likely.sparesRunning(endpoint, waiting.work(), nowNanos));
  }
}
