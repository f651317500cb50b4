package org.snipewick.pool.policy;

/**
 * Learned speed of one endpoint. The time to the first token is linear in the prompt tokens to be
 * prefilled before it. The time between tokens is linear in the batch size, times a slowdown
 * factor: an exponentially weighted moving average of recent observations, which decays to 1 when
 * none arrive.
 */
public final class SpeedModel {
  /** Prompt length to which the prior first-token time of a long prompt applies. */
  private static final double PRIOR_PROMPT_TOKENS = 4_000;

  private static final double PRIOR_FIRST_TOKEN_MILLIS_EMPTY_PROMPT = 40;
  private static final double PRIOR_FIRST_TOKEN_MILLIS_LONG_PROMPT = 1_000;

  /** Batch size, in requests, to which the prior token time of a full batch applies. */
  private static final double PRIOR_BATCH_SIZE = 16;

  private static final double PRIOR_TOKEN_MILLIS_EMPTY_BATCH = 15;
  private static final double PRIOR_TOKEN_MILLIS_FULL_BATCH = 25;

  /** Factor on the weight of older observations with each new one. */
  private static final double DECAY_FACTOR = 0.995;

  /** Weight of an observation in the slowdown at a batch size of 1; less in larger batches. */
  private static final double SMOOTHING_FACTOR = 0.3;

  /** Ratio of the current to the learned token time above which an endpoint is a straggler. */
  private static final double STRAGGLER_SLOWDOWN = 2.5;

  /** Bound on the ratio of a single observation to the learned token time. */
  private static final double MAX_SLOWDOWN = 20;

  /** Time without observations in which a slowdown decays to 1/e. */
  private static final double SLOWDOWN_TIME_CONSTANT_NANOS = 8e9;

  /** Number of observations up to which the slowdown stays 1, until a baseline is learned. */
  private static final int BASELINE_OBSERVATIONS = 40;

  /** Lower bound on the learned token time that an observation is compared with. */
  private static final double MIN_TOKEN_MILLIS = 0.1;

  private final DecayingLinearRegression firstTokenMillisByPrompt =
      DecayingLinearRegression.of(
          PRIOR_PROMPT_TOKENS,
          PRIOR_FIRST_TOKEN_MILLIS_EMPTY_PROMPT,
          PRIOR_FIRST_TOKEN_MILLIS_LONG_PROMPT,
          DECAY_FACTOR);
  private final DecayingLinearRegression tokenMillisByBatch =
      DecayingLinearRegression.of(
          PRIOR_BATCH_SIZE,
          PRIOR_TOKEN_MILLIS_EMPTY_BATCH,
          PRIOR_TOKEN_MILLIS_FULL_BATCH,
          DECAY_FACTOR);
  private double slowdown = 1;
  private long lastObservedNanos;
  private int observations;

  /** Creates a model with prior values only. */
  public SpeedModel() {}

  /**
   * Records the time to a first token.
   *
   * @param promptTokens number of prompt tokens prefilled up to and including this request
   * @param millis time since the dispatch, in milliseconds
   */
  public void observeFirstToken(double promptTokens, double millis) {
    firstTokenMillisByPrompt.add(promptTokens, millis);
  }

  /**
   * Records the time between output tokens of a request that is past its first token.
   *
   * @param batchSize number of requests in flight at the endpoint
   * @param millisPerToken observed time between tokens, in milliseconds
   * @param nowNanos current monotonic time, in nanoseconds
   */
  public void observeToken(int batchSize, double millisPerToken, long nowNanos) {
    double ratio =
        Math.min(
            MAX_SLOWDOWN,
            millisPerToken / Math.max(MIN_TOKEN_MILLIS, tokenMillisByBatch.predict(batchSize)));
    boolean hasBaseline = observations > BASELINE_OBSERVATIONS;
    double previousSlowdown = slowdownAt(nowNanos);
    double weight = SMOOTHING_FACTOR / Math.max(1, batchSize);
    slowdown = hasBaseline ? previousSlowdown + weight * (ratio - previousSlowdown) : 1;
    lastObservedNanos = nowNanos;
    observations++;
    tokenMillisByBatch.add(batchSize, millisPerToken);
  }

  /**
   * Returns the forecast time from the dispatch to the first token.
   *
   * @param promptTokens number of prompt tokens to be prefilled up to and including the request
   * @param nowNanos current monotonic time, in nanoseconds
   * @return milliseconds
   */
  public double firstTokenMillis(double promptTokens, long nowNanos) {
    return firstTokenMillisByPrompt.predict(promptTokens) * Math.max(1, slowdownAt(nowNanos));
  }

  /**
   * Returns the forecast time for which a prefill delays the other requests of the endpoint.
   *
   * @param promptTokens number of prompt tokens to be prefilled
   * @return milliseconds
   */
  public double prefillMillis(double promptTokens) {
    return firstTokenMillisByPrompt.slope() * promptTokens;
  }

  /**
   * Returns the forecast time between output tokens.
   *
   * @param batchSize number of requests in flight at the endpoint
   * @param nowNanos current monotonic time, in nanoseconds
   * @return milliseconds
   */
  public double tokenMillis(int batchSize, long nowNanos) {
    return tokenMillisByBatch.predict(batchSize) * slowdownAt(nowNanos);
  }

  /**
   * Returns whether the endpoint is currently more than 2.5 times slower than learned.
   *
   * @param nowNanos current monotonic time, in nanoseconds
   * @return true if it is a straggler
   */
  public boolean isStraggler(long nowNanos) {
    return slowdownAt(nowNanos) > STRAGGLER_SLOWDOWN;
  }

  private double slowdownAt(long nowNanos) {
    double age = Math.max(0, nowNanos - lastObservedNanos);
    return 1 + (slowdown - 1) * Math.exp(-age / SLOWDOWN_TIME_CONSTANT_NANOS);
  }
}
