package org.snipewick.pool;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.annotation.JsonFormat;
import org.snipewick.identity.EndpointId;
import org.snipewick.identity.Tier;

/**
 * Status of an endpoint, without the work that its scheduler granted.
 *
 * @param id id of the endpoint
 * @param host IP address
 * @param port HTTP port
 * @param state whether it accepts new requests
 * @param lowestTier lowest tier that operators allow it to serve
 * @param maxInFlight maximum number of requests in flight, by settings or its load report; 0 or
 *     less if unknown
 * @param cacheTokens size of its prefix cache, in tokens; 0 if unknown
 * @param reportedRunning running requests by its last load report, which lags; -1 if unknown
 * @param reportedQueued queued requests by its last load report, which lags; -1 if unknown
 * @param reportedKvTokens tokens in its KV memory by its last load report, which lags; -1 if
 *     unknown
 * @param maxKvTokens size of its KV memory, in tokens; 0 if unknown
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record EndpointStatus(
    EndpointId id,
    String host,
    int port,
    State state,
    Tier lowestTier,
    int maxInFlight,
    long cacheTokens,
    int reportedRunning,
    int reportedQueued,
    long reportedKvTokens,
    long maxKvTokens) {

  /** Requires the id, host, state and lowest tier to be non-null. */
  public EndpointStatus {
    requireNonNull(id, "id");
    requireNonNull(host, "host");
    requireNonNull(state, "state");
    requireNonNull(lowestTier, "lowestTier");
  }

  /**
   * Returns an unreachable status for an endpoint of which only the id is known.
   *
   * @param id id of the endpoint
   * @return status with empty host, port 0 and unknown sizes
   */
  public static EndpointStatus unreachable(EndpointId id) {
    return new EndpointStatus(id, "", 0, State.UNREACHABLE, Tier.FOUR, 0, 0, -1, -1, -1, 0);
  }

  /**
   * Returns this status with another state.
   *
   * @param changed new state
   * @return changed copy
   */
  public EndpointStatus withState(State changed) {
    return new EndpointStatus(
        id,
        host,
        port,
        changed,
        lowestTier,
        maxInFlight,
        cacheTokens,
        reportedRunning,
        reportedQueued,
        reportedKvTokens,
        maxKvTokens);
  }

  /** Whether an endpoint accepts new requests. */
  public enum State {
    /** Accepts new requests. */
    LIVE,
    /** Finishes its requests and receives no new ones. */
    LEAVING,
    /** Does not answer and receives no new requests. */
    UNREACHABLE
  }
}
