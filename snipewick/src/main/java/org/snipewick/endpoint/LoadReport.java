package org.snipewick.endpoint;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import com.fasterxml.jackson.annotation.JsonProperty;
import org.snipewick.pool.EndpointStatus;

/**
 * What an endpoint reports about itself; it lags behind the truth.
 *
 * @param state {@code live} or {@code leaving}
 * @param running requests running
 * @param queued requests queued
 * @param kvTokens tokens held in KV memory, -1 if not reported
 * @param maxKvTokens size of the KV memory in tokens, 0 if not reported
 * @param cacheTokens size of the prefix cache in tokens, 0 if not reported
 * @param maxInFlight most requests at the same time, 0 if not reported
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

  /** Fills in what was not reported. */
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
   * Applies this report to what is known of the endpoint.
   *
   * @param known status by list and catalogue
   * @return status, leaving if either says so
   */
  public EndpointStatus applyTo(EndpointStatus known) {
    boolean leaving = LEAVING.equals(state) || known.state() == EndpointStatus.State.LEAVING;
    return new EndpointStatus(
        known.id(),
        known.host(),
        known.port(),
        leaving ? EndpointStatus.State.LEAVING : EndpointStatus.State.LIVE,
        known.lowestTier(),
        maxInFlight > 0 ? maxInFlight : known.maxInFlight(),
        cacheTokens > 0 ? cacheTokens : known.cacheTokens(),
        running,
        queued,
        kvTokens,
        maxKvTokens > 0 ? maxKvTokens : known.maxKvTokens());
  }
}
