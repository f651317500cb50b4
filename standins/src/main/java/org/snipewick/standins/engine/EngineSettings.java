package org.snipewick.standins.engine;

import static java.util.Objects.requireNonNull;

/**
 * Settings of a model engine.
 *
 * @param id name of the replica
 * @param model model that is loaded at the start
 * @param prefillTokensPerSecond speed of prefill over all requests, in tokens per second
 * @param decodeMillisPerToken time of one output token of a request, in milliseconds
 * @param maxInFlight requests that run at once; further ones wait
 * @param cacheTokens size of the prefix cache in tokens
 * @param kvTokens tokens of prompts and outputs that fit into memory at once
 * @param reportLagMillis age of load reports and cache events in milliseconds
 * @param checksFencing whether orders with an old fencing number are refused
 */
public record EngineSettings(
    String id,
    String model,
    double prefillTokensPerSecond,
    double decodeMillisPerToken,
    int maxInFlight,
    int cacheTokens,
    int kvTokens,
    long reportLagMillis,
    boolean checksFencing) {

  /** Checks the settings. */
  public EngineSettings {
    requireNonNull(id, "id");
    requireNonNull(model, "model");
    boolean positive = prefillTokensPerSecond > 0 && maxInFlight > 0 && kvTokens > 0;
    if (!positive || decodeMillisPerToken < 0 || cacheTokens < 0 || reportLagMillis < 0) {
      throw new IllegalArgumentException("Settings of the engine are out of range");
    }
  }
}
