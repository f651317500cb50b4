package org.snipewick.pool;

import static java.util.Objects.requireNonNull;

import java.util.ArrayList;
import java.util.Collection;
import java.util.EnumMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.snipewick.identity.EndpointId;
import org.snipewick.identity.InstanceId;
import org.snipewick.identity.RequestId;
import org.snipewick.identity.Tier;
import org.snipewick.pool.policy.EndpointModel;
import org.snipewick.pool.policy.Forecast;
import org.snipewick.pool.policy.QueuedRequest;
import org.snipewick.pool.policy.RunningRequest;

/**
 * Scheduler of one pool in one failure domain: decides which requests are granted which endpoint
 * and which are refused.
 *
 * <p>A request is never shed while one of a lower tier waits. Decisions are deterministic: the same
 * inputs at the same times yield the same decisions. Not thread-safe.
 */
public final class PoolScheduler {
  private static final long NANOS_PER_MILLI = 1_000_000L;

  /** Quantile of the answer length for optimistic forecasts. */
  private static final double OPTIMISTIC_QUANTILE = 0.6;

  /** Time for which a tier counts as shed after one of its requests was shed. */
  private static final long SHED_TIER_VALIDITY_NANOS = 1_000_000_000L;

  private final SchedulerSettings settings;
  private final PoolState state;
  private final GrantRules rules;
  private long graceEndNanos;
  private boolean inGrace;

  private PoolScheduler(PoolPolicy policy, SchedulerSettings settings) {
    this.settings = requireNonNull(settings, "settings");
    state = new PoolState(requireNonNull(policy, "policy"));
    Forecast conservative = new Forecast(state.lengths, settings.conservativeQuantile());
    Forecast optimistic = new Forecast(state.lengths, OPTIMISTIC_QUANTILE);
    rules = new GrantRules(policy, settings, conservative, optimistic);
  }

  /**
   * Creates a scheduler that grants without a grace period.
   *
   * @param policy policy
   * @param settings settings
   * @return scheduler without endpoints and requests
   */
  public static PoolScheduler of(PoolPolicy policy, SchedulerSettings settings) {
    return new PoolScheduler(policy, settings);
  }

  /**
   * Starts the grace period of a takeover, in which nothing is granted or refused, so that requests
   * granted by an earlier scheduler are reported first.
   *
   * @param nowNanos current monotonic time, in nanoseconds
   */
  public void beginTakeover(long nowNanos) {
    inGrace = true;
    graceEndNanos = nowNanos + settings.takeoverGraceMillis() * NANOS_PER_MILLI;
  }

  /**
   * Adds a request. One that already waits here is left unchanged; for one that was granted and has
   * no output yet, the grant is sent again, since it may have been lost.
   *
   * @param work request
   * @param nowNanos current monotonic time, in nanoseconds
   * @return decisions, which may concern other requests too
   */
  public List<Decision> offer(WorkRequest work, long nowNanos) {
    if (state.hasRequest(work.id())) {
      return resendGrant(work.id());
    }
    List<Decision> decisions = new ArrayList<>();
    QueuedRequest waiting = queuedRequest(work, nowNanos);
    Optional<Decision> refusal =
        inGrace ? Optional.empty() : newPass(nowNanos, decisions).refusalOnArrival(waiting);
    if (refusal.isPresent()) {
      return List.of(refusal.get());
    }
    state.drainRate.recordArrival(work.tier(), waiting.costTokens(), nowNanos);
    state.queue.add(waiting);
    return decide(nowNanos);
  }

  /**
   * Handles a report about a granted or waiting request.
   *
   * @param event event that was reported
   * @param nowNanos current monotonic time, in nanoseconds
   * @return decisions that follow
   */
  public List<Decision> handleEvent(WorkEvent event, long nowNanos) {
    if (event instanceof WorkEvent.Adopted adopted) {
      adopt(adopted, nowNanos);
    } else if (event instanceof WorkEvent.Withdrawn) {
      state.queue.remove(event.request());
      state.release(event.request());
    } else {
      state.endpointOf(event.request()).ifPresent(endpoint -> observe(endpoint, event, nowNanos));
    }
    return event instanceof WorkEvent.FirstToken || event instanceof WorkEvent.Progress
        ? List.of()
        : decide(nowNanos);
  }

  /**
   * Updates the status of an endpoint, or adds the endpoint.
   *
   * @param status status
   * @param nowNanos current monotonic time, in nanoseconds
   * @return decisions that follow
   */
  public List<Decision> updateEndpoint(EndpointStatus status, long nowNanos) {
    state.updateEndpoint(status);
    return decide(nowNanos);
  }

  /**
   * Removes an endpoint. Requests running there are no longer counted.
   *
   * @param id endpoint
   * @param nowNanos current monotonic time, in nanoseconds
   * @return decisions that follow
   */
  public List<Decision> removeEndpoint(EndpointId id, long nowNanos) {
    state.removeEndpoint(id);
    return decide(nowNanos);
  }

  /**
   * Corrects the modelled content of an endpoint's prefix cache. Events may be late and have gaps.
   *
   * @param id endpoint
   * @param stored hashes of blocks that it stored
   * @param evicted hashes of blocks that it evicted
   */
  public void applyCacheEvents(EndpointId id, Collection<Long> stored, Collection<Long> evicted) {
    state
        .endpoint(id)
        .ifPresent(
            endpoint -> {
              endpoint.cache().store(stored);
              endpoint.cache().evict(evicted);
            });
  }

  /**
   * Returns whether no request waits or runs and no grace period is active, so that the passing of
   * time alone changes nothing.
   *
   * @return true if calls of {@link #tick} may be omitted
   */
  public boolean isIdle() {
    return !inGrace && state.queue.isEmpty() && state.granted().isEmpty();
  }

  /**
   * Resumes after a pause in which the scheduler was idle and {@link #tick} was not called.
   *
   * @param lastTickNanos monotonic time at which the last tick would have been, in nanoseconds
   */
  public void resume(long lastTickNanos) {
    state.drainRate.advance(false, lastTickNanos);
  }

  /**
   * Advances the time; to be called about every 100 ms unless the scheduler is idle.
   *
   * @param nowNanos current monotonic time, in nanoseconds
   * @return decisions that follow
   */
  public List<Decision> tick(long nowNanos) {
    if (inGrace && nowNanos - graceEndNanos >= 0) {
      inGrace = false;
      state.queue.reorderByArrival();
    }
    state.drainRate.advance(!inGrace && !state.queue.isEmpty(), nowNanos);
    return decide(nowNanos);
  }

  /**
   * Compares the requests that an entry instance lists with those tracked here, and releases grants
   * that the instance does not have. Grants not older than twice their validity period are kept.
   *
   * @param instance entry instance
   * @param running its dispatched requests and unexpired grants in this pool
   * @param nowNanos current monotonic time, in nanoseconds
   * @return decisions that follow
   */
  public List<Decision> reconcile(InstanceId instance, Set<RequestId> running, long nowNanos) {
    long oldestKeptNanos = nowNanos - 2 * settings.grantValidMillis() * NANOS_PER_MILLI;
    for (EndpointModel endpoint : state.endpoints()) {
      List.copyOf(endpoint.running()).stream()
          .filter(each -> each.work().id().instance().equals(instance))
          .filter(each -> each.grantedNanos() < oldestKeptNanos)
          .filter(each -> !running.contains(each.work().id()))
          .forEach(each -> state.release(each.work().id()));
    }
    return decide(nowNanos);
  }

  /**
   * Removes all requests of an entry instance that failed.
   *
   * @param instance entry instance
   * @param nowNanos current monotonic time, in nanoseconds
   * @return decisions that follow
   */
  public List<Decision> removeEntryInstance(InstanceId instance, long nowNanos) {
    List.copyOf(state.granted()).stream()
        .filter(id -> id.instance().equals(instance))
        .forEach(state::release);
    state.queue.all().stream()
        .map(waiting -> waiting.work().id())
        .filter(id -> id.instance().equals(instance))
        .forEach(state.queue::remove);
    return decide(nowNanos);
  }

  /**
   * Returns whether a request waits or is granted here.
   *
   * @param id id of the request
   * @return true if it waits or is granted
   */
  public boolean hasRequest(RequestId id) {
    return state.hasRequest(id);
  }

  /**
   * Returns whether a request waits here.
   *
   * @param id id of the request
   * @return true if it waits for a decision
   */
  public boolean isWaiting(RequestId id) {
    return state.queue.contains(id);
  }

  /**
   * Removes all waiting requests, for a handover.
   *
   * @return the removed requests, by tier and in queue order
   */
  public List<WorkRequest> drain() {
    List<WorkRequest> drained = state.queue.all().stream().map(QueuedRequest::work).toList();
    drained.forEach(work -> state.queue.remove(work.id()));
    return drained;
  }

  /**
   * Returns the entry instances that have waiting or granted requests here.
   *
   * @return instances
   */
  public Set<InstanceId> entryInstances() {
    Set<InstanceId> entries = new HashSet<>();
    state.granted().forEach(id -> entries.add(id.instance()));
    state.queue.all().forEach(waiting -> entries.add(waiting.work().id().instance()));
    return entries;
  }

  /**
   * Returns the status of an endpoint.
   *
   * @param id endpoint
   * @return last status; empty if the endpoint is unknown
   */
  public Optional<EndpointStatus> status(EndpointId id) {
    return state.endpoint(id).map(EndpointModel::status);
  }

  /**
   * Returns a summary of the current state.
   *
   * @param nowNanos current monotonic time, in nanoseconds
   * @return summary
   */
  public PoolSummary summary(long nowNanos) {
    Map<Tier, Integer> sizes = new EnumMap<>(Tier.class);
    for (Tier tier : Tier.values()) {
      sizes.put(tier, state.queue.size(tier));
    }
    Optional<Tier> highestShedTier =
        state.lastShedNanos.entrySet().stream()
            .filter(entry -> nowNanos - entry.getValue() < SHED_TIER_VALIDITY_NANOS)
            .map(Map.Entry::getKey)
            .min(Tier::compareTo);
    return new PoolSummary(
        sizes, state.granted().size(), (int) countLiveEndpoints(), highestShedTier);
  }

  private long countLiveEndpoints() {
    return state.endpoints().stream()
        .filter(endpoint -> endpoint.status().state() == EndpointStatus.State.LIVE)
        .count();
  }

  private QueuedRequest queuedRequest(WorkRequest work, long nowNanos) {
    long arrivalNanos = nowNanos - work.waitedMillis() * NANOS_PER_MILLI;
    long deadlineNanos = nowNanos + work.remainingMillis() * NANOS_PER_MILLI;
    double outputTokens = state.lengths.mean(work.team(), 0, work.maxOutputTokens());
    double costTokens = 1 + minUncachedTokens(work) + settings.outputTokenWeight() * outputTokens;
    return new QueuedRequest(work, arrivalNanos, deadlineNanos, costTokens, 0);
  }

  /**
   * Returns the number of prompt tokens to prefill at the endpoint that caches most of the prompt.
   */
  private double minUncachedTokens(WorkRequest work) {
    return state.endpoints().stream()
        .filter(endpoint -> endpoint.serves(work.tier()))
        .mapToDouble(endpoint -> endpoint.uncachedTokens(work))
        .min()
        .orElse(work.promptTokens());
  }

  private List<Decision> decide(long nowNanos) {
    List<Decision> decisions = new ArrayList<>();
    if (!inGrace) {
      newPass(nowNanos, decisions).run();
    }
    return decisions;
  }

  private List<Decision> resendGrant(RequestId id) {
    return state
        .endpointOf(id)
        .filter(endpoint -> endpoint.find(id).orElseThrow().outputTokens() == 0)
        .<Decision>map(
            endpoint -> new Decision.Grant(id, endpoint.id(), settings.grantValidMillis()))
        .map(List::of)
        .orElse(List.of());
  }

  private DecisionPass newPass(long nowNanos, List<Decision> decisions) {
    return new DecisionPass(state, rules, settings.grantValidMillis(), nowNanos, decisions);
  }

  private void observe(EndpointModel endpoint, WorkEvent event, long nowNanos) {
    RunningRequest running = endpoint.find(event.request()).orElseThrow();
    if (event instanceof WorkEvent.FirstToken first) {
      ModelUpdater.onFirstToken(endpoint, running, first.sinceDispatchMillis(), nowNanos);
    } else if (event instanceof WorkEvent.Progress progress) {
      ModelUpdater.onProgress(endpoint, running, progress.outputTokens(), nowNanos);
    } else if (event instanceof WorkEvent.Finished finished) {
      ModelUpdater.onFinished(endpoint, running, finished, state.lengths, nowNanos);
      state.release(event.request());
    }
  }

  private void adopt(WorkEvent.Adopted adopted, long nowNanos) {
    WorkRequest work = adopted.work();
    state.queue.remove(work.id());
    if (state.hasRequest(work.id())) {
      return;
    }
    if (state.endpoint(adopted.endpoint()).isEmpty()) {
      state.updateEndpoint(EndpointStatus.unreachable(adopted.endpoint()));
    }
    EndpointModel endpoint = state.endpoint(adopted.endpoint()).orElseThrow();
    long deadlineNanos = nowNanos + work.remainingMillis() * NANOS_PER_MILLI;
    RunningRequest running =
        new RunningRequest(work, nowNanos, deadlineNanos, work.promptTokens(), work.promptTokens());
    running.recordProgress(adopted.outputTokens(), nowNanos);
    state.addGranted(endpoint, running);
  }
}
