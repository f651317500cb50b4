package org.snipewick.pool.policy;

/**
 * Learned speed of one endpoint. The time to the first token is a line over the prompt tokens ahead
 * of it; the time between tokens is a line over the batch size, times a factor that follows recent
 * observations and fades to one when none arrive.
 */
public final class SpeedModel {
  private static final double PRIOR_PROMPT_TOKENS = 4_000;
  private static final double PRIOR_FIRST_TOKEN_MILLIS = 40;
  private static final double PRIOR_PROMPT_MILLIS = 1_000;
  private static final double PRIOR_BATCH = 16;
  private static final double PRIOR_TOKEN_MILLIS_ALONE = 15;
  private static final double PRIOR_TOKEN_MILLIS_BATCH = 25;
  private static final double DECAY = 0.995;
  private static final double RECENT_SHARE = 0.3;
  private static final double STRAGGLER_FACTOR = 2.5;
  private static final double MAX_FACTOR = 20;
  private static final double FADE_NANOS = 8e9;

  private final LinearEstimate firstToken =
      LinearEstimate.of(PRIOR_PROMPT_TOKENS, PRIOR_FIRST_TOKEN_MILLIS, PRIOR_PROMPT_MILLIS, DECAY);
  private final LinearEstimate token =
      LinearEstimate.of(PRIOR_BATCH, PRIOR_TOKEN_MILLIS_ALONE, PRIOR_TOKEN_MILLIS_BATCH, DECAY);
  private double factor = 1;
  private long observedNanos;
  private int observations;

  /** Creates a model that knows nothing yet. */
  public SpeedModel() {}

  /**
   * Learns from a first token.
   *
   * @param promptTokens tokens that were to be prefilled up to and with this request
   * @param millis time from dispatch, in milliseconds
   */
  public void observeFirstToken(double promptTokens, double millis) {
    firstToken.add(promptTokens, millis);
  }

  /**
   * Learns from the progress of a request that is past its first token.
   *
   * @param batch requests at the endpoint
   * @param millisPerToken observed time between tokens, in milliseconds
   * @param nowNanos current monotonic time, in nanoseconds
   */
  public void observeToken(int batch, double millisPerToken, long nowNanos) {
    double ratio = Math.min(MAX_FACTOR, millisPerToken / Math.max(0.1, token.at(batch)));
    boolean known = observations > 40;
    double previous = factorAt(nowNanos);
    double share = RECENT_SHARE / Math.max(1, batch);
    factor = known ? previous + share * (ratio - previous) : 1;
    observedNanos = nowNanos;
    observations++;
    token.add(batch, millisPerToken);
  }

  /**
   * Forecasts the time from dispatch to the first token.
   *
   * @param promptTokens tokens to be prefilled up to and with the request
   * @param nowNanos current monotonic time, in nanoseconds
   * @return milliseconds
   */
  public double firstTokenMillis(double promptTokens, long nowNanos) {
    return firstToken.at(promptTokens) * Math.max(1, factorAt(nowNanos));
  }

  /**
   * Forecasts the time that prefilling takes away from the other requests of the endpoint.
   *
   * @param promptTokens tokens to be prefilled
   * @return milliseconds
   */
  public double prefillMillis(double promptTokens) {
    return firstToken.slope() * promptTokens;
  }

  /**
   * Forecasts the time between tokens.
   *
   * @param batch requests at the endpoint
   * @param nowNanos current monotonic time, in nanoseconds
   * @return milliseconds
   */
  public double tokenMillis(int batch, long nowNanos) {
    return token.at(batch) * factorAt(nowNanos);
  }

  /**
   * Tells whether the endpoint is much slower at present than it has shown before.
   *
   * @param nowNanos current monotonic time, in nanoseconds
   * @return whether it is a straggler
   */
  public boolean isStraggler(long nowNanos) {
    return factorAt(nowNanos) > STRAGGLER_FACTOR;
  }

  private double factorAt(long nowNanos) {
    double age = Math.max(0, nowNanos - observedNanos);
    return 1 + (factor - 1) * Math.exp(-age / FADE_NANOS);
  }
}
