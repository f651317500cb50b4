package org.snipewick.endpoint;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import com.fasterxml.jackson.annotation.JsonProperty;
import org.snipewick.pool.EndpointStatus;

/**
 * Load and state that an endpoint reports about itself. A report lags behind the actual state.
 *
 * @param state {@code live} or {@code leaving}
 * @param running requests running at the endpoint, -1 if not reported
 * @param queued requests queued at the endpoint, -1 if not reported
 * @param kvTokens tokens held in the KV cache, -1 if not reported
 * @param maxKvTokens size of the KV cache in tokens, 0 if not reported
 * @param cacheTokens size of the prefix cache in tokens, 0 if not reported
 * @param maxInFlight most requests that the endpoint runs at the same time, 0 if not reported
 */
@JsonIgnoreProperties(ignoreUnknown = true)
public record LoadReport(
    String state,
    int running,
    int queued,
    long kvTokens,
    long maxKvTokens,
    long cacheTokens,
    int maxInFlight) {

  private static final String LEAVING = "leaving";

  /** Replaces a missing state by {@code live}. */
  public LoadReport {
    state = state == null ? "live" : state;
  }

  @JsonCreator
  static LoadReport of(
      @JsonProperty("state") String state,
      @JsonProperty("running") Integer running,
      @JsonProperty("queued") Integer queued,
      @JsonProperty("kvTokens") Long kvTokens,
      @JsonProperty("maxKvTokens") Long maxKvTokens,
      @JsonProperty("cacheTokens") Long cacheTokens,
      @JsonProperty("maxInFlight") Integer maxInFlight) {
    return new LoadReport(
        state,
        running == null ? -1 : running,
        queued == null ? -1 : queued,
        kvTokens == null ? -1 : kvTokens,
        maxKvTokens == null ? 0 : maxKvTokens,
        cacheTokens == null ? 0 : cacheTokens,
        maxInFlight == null ? 0 : maxInFlight);
  }

  /**
   * Returns the status of the endpoint with the values of this report. Cache sizes and the request
   * limit keep their listed values if they were not reported.
   *
   * @param listed status according to the list of endpoints and the catalogue
   * @return new status; its state is leaving if that of the report or of the listed status is
   */
  public EndpointStatus applyTo(EndpointStatus listed) {
    boolean leaving = LEAVING.equals(state) || listed.state() == EndpointStatus.State.LEAVING;
    return new EndpointStatus(
        listed.id(),
        listed.host(),
        listed.port(),
        leaving ? EndpointStatus.State.LEAVING : EndpointStatus.State.LIVE,
        listed.lowestTier(),
        maxInFlight > 0 ? maxInFlight : listed.maxInFlight(),
        cacheTokens > 0 ? cacheTokens : listed.cacheTokens(),
        running,
        queued,
        kvTokens,
        maxKvTokens > 0 ? maxKvTokens : listed.maxKvTokens());
  }
}
