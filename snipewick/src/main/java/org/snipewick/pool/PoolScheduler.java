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
import org.snipewick.pool.policy.Running;
import org.snipewick.pool.policy.Waiting;

/**
 * Decides for one pool in one failure domain who is granted which endpoint and who is refused.
 *
 * <p>A higher tier is never shed while a lower one waits. The same inputs at the same times give
 * the same decisions. Not safe for use by several threads.
 */
public final class PoolScheduler {
  private static final long NANOS_PER_MILLI = 1_000_000L;
  private static final double LIKELY_SHARE = 0.6;
  private static final long SHED_MEMORY_NANOS = 1_000_000_000L;

  private final SchedulerSettings settings;
  private final PoolState state;
  private final GrantRules rules;
  private long graceEndNanos;
  private boolean inGrace;

  private PoolScheduler(PoolPolicy policy, SchedulerSettings settings) {
    this.settings = requireNonNull(settings, "settings");
    state = new PoolState(requireNonNull(policy, "policy"));
    Forecast safe = new Forecast(state.lengths, settings.safeShare());
    Forecast likely = new Forecast(state.lengths, LIKELY_SHARE);
    rules = new GrantRules(policy, settings, safe, likely);
  }

  /**
   * Creates a scheduler that grants at once.
   *
   * @param policy policy
   * @param settings settings
   * @return scheduler without endpoints and requests
   */
  public static PoolScheduler of(PoolPolicy policy, SchedulerSettings settings) {
    return new PoolScheduler(policy, settings);
  }

  /**
   * Holds grants and refusals back until reports of work granted by an earlier scheduler are in.
   *
   * @param nowNanos current monotonic time, in nanoseconds
   */
  public void beginTakeover(long nowNanos) {
    inGrace = true;
    graceEndNanos = nowNanos + settings.takeoverGraceMillis() * NANOS_PER_MILLI;
  }

  /**
   * Takes a request. One that waits here already is left alone; for one that was granted and has
   * not begun, the grant is repeated, since it may have been lost.
   *
   * @param work request
   * @param nowNanos current monotonic time, in nanoseconds
   * @return decisions, also about other requests
   */
  public List<Decision> offer(WorkRequest work, long nowNanos) {
    if (state.knows(work.id())) {
      return repeatedGrant(work.id());
    }
    List<Decision> decisions = new ArrayList<>();
    Waiting waiting = waiting(work, nowNanos);
    Optional<Decision> refusal =
        inGrace ? Optional.empty() : pass(nowNanos, decisions).impossible(waiting);
    if (refusal.isPresent()) {
      return List.of(refusal.get());
    }
    state.rates.arrived(work.tier(), waiting.cost(), nowNanos);
    state.queue.add(waiting);
    return decide(nowNanos);
  }

  /**
   * Takes a report about a granted or waiting request.
   *
   * @param event report
   * @param nowNanos current monotonic time, in nanoseconds
   * @return decisions that follow
   */
  public List<Decision> event(WorkEvent event, long nowNanos) {
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
   * Takes the status of an endpoint, known or new.
   *
   * @param status status
   * @param nowNanos current monotonic time, in nanoseconds
   * @return decisions that follow
   */
  public List<Decision> endpoint(EndpointStatus status, long nowNanos) {
    state.update(status);
    return decide(nowNanos);
  }

  /**
   * Forgets an endpoint. Requests running there are no longer counted.
   *
   * @param id endpoint
   * @param nowNanos current monotonic time, in nanoseconds
   * @return decisions that follow
   */
  public List<Decision> endpointRemoved(EndpointId id, long nowNanos) {
    state.forget(id);
    return decide(nowNanos);
  }

  /**
   * Corrects what is believed of an endpoint's prefix cache. Events may be late and have gaps.
   *
   * @param id endpoint
   * @param stored hashes of blocks that it stored
   * @param evicted hashes of blocks that it evicted
   */
  public void cacheEvents(EndpointId id, Collection<Long> stored, Collection<Long> evicted) {
    state
        .endpoint(id)
        .ifPresent(
            endpoint -> {
              endpoint.cache().store(stored);
              endpoint.cache().evict(evicted);
            });
  }

  /**
   * Tells whether nothing waits, runs or is held back, so that time alone changes nothing.
   *
   * @return whether {@link #tick} may be left out
   */
  public boolean isIdle() {
    return !inGrace && state.queue.isEmpty() && state.granted().isEmpty();
  }

  /**
   * Lets a pause end in which it was idle and not ticked.
   *
   * @param lastTickNanos monotonic time at which the last tick would have been, in nanoseconds
   */
  public void resume(long lastTickNanos) {
    state.rates.elapsed(false, lastTickNanos);
  }

  /**
   * Lets time pass; to be called about ten times a second unless it is idle.
   *
   * @param nowNanos current monotonic time, in nanoseconds
   * @return decisions that follow
   */
  public List<Decision> tick(long nowNanos) {
    if (inGrace && nowNanos - graceEndNanos >= 0) {
      inGrace = false;
      state.queue.reorderByArrival();
    }
    state.rates.elapsed(!inGrace && !state.queue.isEmpty(), nowNanos);
    return decide(nowNanos);
  }

  /**
   * Compares what an entry instance says that it has with what is known here, and takes back grants
   * that it does not have.
   *
   * @param instance entry instance
   * @param running its dispatched requests and usable grants in this pool
   * @param nowNanos current monotonic time, in nanoseconds
   * @return decisions that follow
   */
  public List<Decision> reconcile(InstanceId instance, Set<RequestId> running, long nowNanos) {
    long oldest = nowNanos - 2 * settings.grantValidMillis() * NANOS_PER_MILLI;
    for (EndpointModel endpoint : state.endpoints()) {
      List.copyOf(endpoint.running()).stream()
          .filter(each -> each.work().id().instance().equals(instance))
          .filter(each -> each.grantedNanos() < oldest)
          .filter(each -> !running.contains(each.work().id()))
          .forEach(each -> state.release(each.work().id()));
    }
    return decide(nowNanos);
  }

  /**
   * Forgets all requests of an entry instance that died.
   *
   * @param instance entry instance
   * @param nowNanos current monotonic time, in nanoseconds
   * @return decisions that follow
   */
  public List<Decision> entryLost(InstanceId instance, long nowNanos) {
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
   * Tells whether a request waits or runs here.
   *
   * @param id request
   * @return whether it is known
   */
  public boolean knows(RequestId id) {
    return state.knows(id);
  }

  /**
   * Tells whether a request waits here.
   *
   * @param id request
   * @return whether it waits for a decision
   */
  public boolean isWaiting(RequestId id) {
    return state.queue.contains(id);
  }

  /**
   * Empties the queue, for a hand-over.
   *
   * @return requests that waited, by tier and in order
   */
  public List<WorkRequest> drain() {
    List<WorkRequest> drained = state.queue.all().stream().map(Waiting::work).toList();
    drained.forEach(work -> state.queue.remove(work.id()));
    return drained;
  }

  /**
   * Returns the entry instances that have requests here.
   *
   * @return instances
   */
  public Set<InstanceId> entries() {
    Set<InstanceId> entries = new HashSet<>();
    state.granted().forEach(id -> entries.add(id.instance()));
    state.queue.all().forEach(waiting -> entries.add(waiting.work().id().instance()));
    return entries;
  }

  /**
   * Finds the status of an endpoint.
   *
   * @param id endpoint
   * @return last status, empty if not known
   */
  public Optional<EndpointStatus> status(EndpointId id) {
    return state.endpoint(id).map(EndpointModel::status);
  }

  /**
   * Sums up the state.
   *
   * @param nowNanos current monotonic time, in nanoseconds
   * @return summary
   */
  public PoolSummary summary(long nowNanos) {
    Map<Tier, Integer> sizes = new EnumMap<>(Tier.class);
    for (Tier tier : Tier.values()) {
      sizes.put(tier, state.queue.size(tier));
    }
    Optional<Tier> shed =
        state.lastShedNanos.entrySet().stream()
            .filter(entry -> nowNanos - entry.getValue() < SHED_MEMORY_NANOS)
            .map(Map.Entry::getKey)
            .min(Tier::compareTo);
    return new PoolSummary(sizes, state.granted().size(), (int) live(), shed);
  }

  private long live() {
    return state.endpoints().stream()
        .filter(endpoint -> endpoint.status().state() == EndpointStatus.State.LIVE)
        .count();
  }

  private Waiting waiting(WorkRequest work, long nowNanos) {
    long arrival = nowNanos - work.waitedMillis() * NANOS_PER_MILLI;
    long deadline = nowNanos + work.remainingMillis() * NANOS_PER_MILLI;
    double output = state.lengths.mean(work.team(), 0, work.maxOutputTokens());
    double cost = 1 + promptTokens(work) + settings.outputTokenWeight() * output;
    return new Waiting(work, arrival, deadline, cost, 0);
  }

  /** Returns the prompt tokens to be prefilled where most of them are cached. */
  private double promptTokens(WorkRequest work) {
    return state.endpoints().stream()
        .filter(endpoint -> endpoint.serves(work.tier()))
        .mapToDouble(endpoint -> endpoint.uncachedTokens(work))
        .min()
        .orElse(work.promptTokens());
  }

  private List<Decision> decide(long nowNanos) {
    List<Decision> decisions = new ArrayList<>();
    if (!inGrace) {
      pass(nowNanos, decisions).run();
    }
    return decisions;
  }

  private List<Decision> repeatedGrant(RequestId id) {
    return state
        .endpointOf(id)
        .filter(endpoint -> endpoint.find(id).orElseThrow().outputTokens() == 0)
        .<Decision>map(
            endpoint -> new Decision.Grant(id, endpoint.id(), settings.grantValidMillis()))
        .map(List::of)
        .orElse(List.of());
  }

  private DecisionPass pass(long nowNanos, List<Decision> decisions) {
    return new DecisionPass(state, rules, settings.grantValidMillis(), nowNanos, decisions);
  }

  private void observe(EndpointModel endpoint, WorkEvent event, long nowNanos) {
    Running running = endpoint.find(event.request()).orElseThrow();
    if (event instanceof WorkEvent.FirstToken first) {
      Observations.firstToken(endpoint, running, first.sinceDispatchMillis(), nowNanos);
    } else if (event instanceof WorkEvent.Progress progress) {
      Observations.progress(endpoint, running, progress.outputTokens(), nowNanos);
    } else if (event instanceof WorkEvent.Finished finished) {
      Observations.finished(endpoint, running, finished, state.lengths, nowNanos);
      state.release(event.request());
    }
  }

  private void adopt(WorkEvent.Adopted adopted, long nowNanos) {
    WorkRequest work = adopted.work();
    state.queue.remove(work.id());
    if (state.knows(work.id())) {
      return;
    }
    if (state.endpoint(adopted.endpoint()).isEmpty()) {
      state.update(EndpointStatus.unreachable(adopted.endpoint()));
    }
    EndpointModel endpoint = state.endpoint(adopted.endpoint()).orElseThrow();
    long deadline = nowNanos + work.remainingMillis() * NANOS_PER_MILLI;
    Running running =
        new Running(work, nowNanos, deadline, work.promptTokens(), work.promptTokens());
    running.progress(adopted.outputTokens(), nowNanos);
    state.run(endpoint, running);
  }
}
