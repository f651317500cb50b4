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

/** Model of one endpoint: its status, granted requests, learned speed and prefix cache. */
public final class EndpointModel {
  /** Slots that are assumed while the maximum number of requests in flight is unknown. */
  private static final int DEFAULT_SLOTS = 8;

  /** Time without progress after which an endpoint is stalled. */
  private static final long STALL_TIMEOUT_NANOS = 1_500_000_000L;

  private final Map<RequestId, RunningRequest> running = new LinkedHashMap<>();
  private final SpeedModel speed = new SpeedModel();
  private final PrefixCacheModel cache = new PrefixCacheModel();
  private final boolean prefixAware;
  private EndpointStatus status;

  /**
   * Creates a model of an endpoint without granted requests.
   *
   * @param status first status
   * @param prefixAware whether cached prefixes are taken into account
   */
  public EndpointModel(EndpointStatus status, boolean prefixAware) {
    this.prefixAware = prefixAware;
    update(status);
  }

  /**
   * Replaces the status, including the size of the prefix cache.
   *
   * @param changed new status
   */
  public void update(EndpointStatus changed) {
    status = requireNonNull(changed, "changed");
    cache.resize(changed.cacheTokens());
  }

  /**
   * Returns the id of the endpoint.
   *
   * @return id
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
   * @return live speed model
   */
  public SpeedModel speed() {
    return speed;
  }

  /**
   * Returns the model of its prefix cache.
   *
   * @return live cache model
   */
  public PrefixCacheModel cache() {
    return cache;
  }

  /**
   * Returns whether the endpoint accepts new requests of a tier.
   *
   * @param tier tier of a request
   * @return true if it is live and allowed to serve the tier
   */
  public boolean serves(Tier tier) {
    return status.state() == EndpointStatus.State.LIVE && !status.lowestTier().isHigherThan(tier);
  }

  /**
   * Returns the capacity of the endpoint.
   *
   * @return number of slots; 8 if unknown
   */
  public int slots() {
    return status.maxInFlight() > 0 ? status.maxInFlight() : DEFAULT_SLOTS;
  }

  /**
   * Returns the number of granted requests that have not ended.
   *
   * @return number of requests
   */
  public int batchSize() {
    return running.size();
  }

  /**
   * Returns the granted requests that have not ended.
   *
   * @return live view, in the order of the grants
   */
  public Collection<RunningRequest> running() {
    return running.values();
  }

  /**
   * Returns a granted request.
   *
   * @param id request
   * @return request; empty if it is not granted here
   */
  public Optional<RunningRequest> find(RequestId id) {
    return Optional.ofNullable(running.get(id));
  }

  /**
   * Adds a granted request; its prompt is assumed to be cached from now on.
   *
   * @param added request
   */
  public void add(RunningRequest added) {
    running.put(added.work().id(), added);
    cache.store(added.work().prefixHashes());
  }

  /**
   * Removes a granted request.
   *
   * @param id request
   */
  public void remove(RequestId id) {
    running.remove(id);
  }

  /**
   * Returns the number of prompt tokens of granted requests that are not prefilled yet.
   *
   * @return number of tokens
   */
  public double prefillBacklogTokens() {
    double sum = 0;
    for (RunningRequest each : running.values()) {
      sum += each.prefillBacklogTokens();
    }
    return sum;
  }

  /**
   * Returns the expected number of prompt tokens of a request that are to be prefilled here.
   *
   * @param work request
   * @return number of tokens
   */
  public double uncachedTokens(WorkRequest work) {
    if (!prefixAware) {
      return work.promptTokens();
    }
    return Math.max(0, work.promptTokens() - cache.cachedTokens(work.prefixHashes()));
  }

  /**
   * Returns whether the endpoint is stalled: it has requests past their first token, and none of
   * them has made progress for 1.5 seconds.
   *
   * @param nowNanos current monotonic time, in nanoseconds
   * @return true if it is stalled
   */
  public boolean isStalled(long nowNanos) {
    boolean anyPastFirstToken = false;
    for (RunningRequest each : running.values()) {
      if (each.outputTokens() > 0) {
        anyPastFirstToken = true;
        if (nowNanos - each.lastProgressNanos() < STALL_TIMEOUT_NANOS) {
          return false;
        }
      }
    }
    return anyPastFirstToken;
  }
}
