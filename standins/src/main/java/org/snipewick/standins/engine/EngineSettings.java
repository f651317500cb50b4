package org.snipewick.standins.engine;

import static java.util.Objects.requireNonNull;

/**
 * Settings of a stand-in engine.
 *
 * @param id name of the replica
 * @param model model that is loaded at start
 * @param prefillTokensPerSecond prefill rate over all requests, in tokens per second
 * @param decodeMillisPerToken decode time of one output token of a request, in milliseconds
 * @param maxInFlight maximum number of running requests; further ones are queued
 * @param cacheTokens size of the prefix cache in tokens
 * @param kvTokens capacity of the KV cache: prompt and output tokens of all running requests
 * @param reportLagMillis age of load reports and cache events when they are returned, in
 *     milliseconds
 * @param checksFencing whether orders with an old fencing number are rejected
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

  /**
   * Checks the settings.
   *
   * @throws IllegalArgumentException if a number is out of range
   */
  public EngineSettings {
    requireNonNull(id, "id");
    requireNonNull(model, "model");
    boolean isPositive = prefillTokensPerSecond > 0 && maxInFlight > 0 && kvTokens > 0;
    if (!isPositive || decodeMillisPerToken < 0 || cacheTokens < 0 || reportLagMillis < 0) {
      throw new IllegalArgumentException("Settings of the engine are out of range");
    }
  }
}
