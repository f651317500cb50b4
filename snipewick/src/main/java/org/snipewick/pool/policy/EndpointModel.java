package org.snipewick.pool.policy;

import static java.util.Objects.requireNonNull;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.snipewick.identity.EndpointId;
import org.snipewick.identity.RequestId;
import org.snipewick.identity.Tier;
import org.snipewick.pool.EndpointStatus;
import org.snipewick.pool.WorkRequest;

/** What a scheduler knows of one endpoint: its status, its granted work and its learned speed. */
public final class EndpointModel {
  private static final int DEFAULT_SLOTS = 8;
  private static final long STALL_TIMEOUT_NANOS = 1_500_000_000L;

  private final Map<RequestId, RunningRequest> running = new LinkedHashMap<>();
  private final SpeedModel speed = new SpeedModel();
  private final PrefixCacheModel cache = new PrefixCacheModel();
  private final boolean prefixAware;
  private EndpointStatus status;

  /**
   * Creates a model of an endpoint without work.
   *
   * @param status first status
   * @param usesPrefixes whether cached prefixes count
   */
  public EndpointModel(EndpointStatus status, boolean usesPrefixes) {
    this.prefixAware = usesPrefixes;
    update(status);
  }

  /**
   * Replaces the status.
   *
   * @param changed new status
   */
  public void update(EndpointStatus changed) {
    status = requireNonNull(changed, "changed");
    cache.resize(changed.cacheTokens());
  }

  /**
   * Returns the name.
   *
   * @return endpoint
   */
  public EndpointId id() {
    return status.id();
  }

  /**
   * Returns the status.
   *
   * @return last status
   */
  public EndpointStatus status() {
    return status;
  }

  /**
   * Returns the learned speed.
   *
   * @return speed
   */
  public SpeedModel speed() {
    return speed;
  }

  /**
   * Returns what its prefix cache probably holds.
   *
   * @return cache
   */
  public PrefixCacheModel cache() {
    return cache;
  }

  /**
   * Tells whether it may serve a tier at all.
   *
   * @param tier tier of a request
   * @return whether it takes new work of that tier
   */
  public boolean serves(Tier tier) {
    return status.state() == EndpointStatus.State.LIVE && !status.lowestTier().isHigherThan(tier);
  }

  /**
   * Returns how many requests it takes at the same time.
   *
   * @return requests
   */
  public int slots() {
    return status.maxInFlight() > 0 ? status.maxInFlight() : DEFAULT_SLOTS;
  }

  /**
   * Returns how many requests are granted and not finished.
   *
   * @return requests
   */
  public int batchSize() {
    return running.size();
  }

  /**
   * Returns the granted work.
   *
   * @return requests in the order of their grants
   */
  public Collection<RunningRequest> running() {
    return running.values();
  }

  /**
   * Finds granted work.
   *
   * @param id request
   * @return work, empty if it is not here
   */
  public Optional<RunningRequest> find(RequestId id) {
    return Optional.ofNullable(running.get(id));
  }

  /**
   * Adds granted work and assumes its prompt to be cached from now on.
   *
   * @param added work
   */
  public void add(RunningRequest added) {
    running.put(added.work().id(), added);
    cache.store(added.work().prefixHashes());
  }

  /**
   * Removes granted work.
   *
   * @param id request
   */
  public void remove(RequestId id) {
    running.remove(id);
  }

  /**
   * Returns the prompt tokens of granted work that are not prefilled yet.
   *
   * @return tokens
   */
  public double prefillBacklogTokens() {
    double sum = 0;
    for (RunningRequest each : running.values()) {
      sum += each.prefillBacklogTokens();
    }
    return sum;
  }

  /**
   * Returns the prompt tokens of a request that probably have to be prefilled here.
   *
   * @param work request
   * @return tokens
   */
  public double uncachedTokens(WorkRequest work) {
    if (!prefixAware) {
      return work.promptTokens();
    }
    return Math.max(0, work.promptTokens() - cache.cachedTokens(work.prefixHashes()));
  }

  /**
   * Tells whether answers that had begun have all stopped moving.
   *
   * @param nowNanos current monotonic time, in nanoseconds
   * @return whether it is stalled
   */
  public boolean isStalled(long nowNanos) {
    boolean begun = false;
    for (RunningRequest each : running.values()) {
      if (each.outputTokens() > 0) {
        begun = true;
        if (nowNanos - each.lastProgressNanos() < STALL_TIMEOUT_NANOS) {
          return false;
        }
      }
    }
    return begun;
  }
}
