package org.snipewick.pool;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.annotation.JsonFormat;
import org.snipewick.identity.EndpointId;
import org.snipewick.identity.Tier;

/**
 * What is known of an endpoint apart from the work that its scheduler granted.
 *
 * @param id endpoint
 * @param host IP address
 * @param port HTTP port
 * @param state whether it takes new work
 * @param lowestTier lowest tier that operators let it serve
 * @param maxInFlight most requests that it takes at the same time, by settings or its own report
 * @param cacheTokens size of its prefix cache in tokens, 0 if unknown
 * @param reportedRunning requests running by its own, lagging report; -1 if unknown
 * @param reportedQueued requests queued by its own, lagging report; -1 if unknown
 * @param reportedKvTokens tokens held in its KV memory by its own, lagging report; -1 if unknown
 * @param maxKvTokens size of its KV memory in tokens, 0 if unknown
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

  /** Checks the parts. */
  public EndpointStatus {
    requireNonNull(id, "id");
    requireNonNull(host, "host");
    requireNonNull(state, "state");
    requireNonNull(lowestTier, "lowestTier");
  }

  /**
   * Returns the status of an endpoint of which nothing but its name is known.
   *
   * @param id endpoint
   * @return status that takes no new work
   */
  public static EndpointStatus unreachable(EndpointId id) {
    return new EndpointStatus(id, "", 0, State.UNREACHABLE, Tier.FOUR, 0, 0, -1, -1, -1, 0);
  }

  /**
   * Returns this status with another state.
   *
   * @param changed whether it takes new work
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

  /** Whether an endpoint takes new work. */
  public enum State {
    /** Takes new work. */
    LIVE,
    /** Finishes what it has and gets nothing new. */
    LEAVING,
    /** Does not answer and gets nothing new. */
    UNREACHABLE
  }
}
