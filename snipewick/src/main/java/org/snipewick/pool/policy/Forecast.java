package org.snipewick.pool.policy;

import static java.util.Objects.requireNonNull;

import org.snipewick.pool.WorkRequest;

/** Forecasts of the finish of requests on an endpoint, from learned speeds and answer lengths. */
public final class Forecast {
  private static final double MEDIAN = 0.5;

  /** Uncached prompt tokens at which {@link #MIN_LONG_PROMPT_QUANTILE} applies in full. */
  private static final double LONG_PROMPT_TOKENS = 3_000;

  /**
   * Minimum quantile of the answer length that prompt-adjusted forecasts assume for long prompts.
   */
  private static final double MIN_LONG_PROMPT_QUANTILE = 0.95;

  private final LengthModel lengths;
  private final double lengthQuantile;

  /**
   * Creates forecasts from learned lengths.
   *
   * @param lengths learned answer lengths
   * @param lengthQuantile quantile of the answer length that forecasts assume, 0 to 1
   */
  public Forecast(LengthModel lengths, double lengthQuantile) {
    this.lengths = requireNonNull(lengths, "lengths");
    this.lengthQuantile = lengthQuantile;
  }

  /**
   * Returns a forecast of when a request would finish if it were granted now, which is more
   * conservative for longer prompts. The assumed quantile of the answer length grows with the
   * prompt tokens that a missed deadline would waste, to at least 0.95 at 3,000 uncached tokens.
   *
   * @param endpoint endpoint that would run the request
   * @param work request
   * @param nowNanos current monotonic time, in nanoseconds
   * @return milliseconds from now
   */
  public double promptAdjustedFinishMillis(
      EndpointModel endpoint, WorkRequest work, long nowNanos) {
    return finishMillis(endpoint, work, promptAdjustedQuantile(endpoint, work), nowNanos);
  }

  /**
   * Returns a forecast of when a request would finish if it were granted now, for an answer of
   * median length.
   *
   * @param endpoint endpoint that would run the request
   * @param work request
   * @param nowNanos current monotonic time, in nanoseconds
   * @return milliseconds from now
   */
  public double medianFinishMillis(EndpointModel endpoint, WorkRequest work, long nowNanos) {
    return finishMillis(endpoint, work, MEDIAN, nowNanos);
  }

  /**
   * Returns the forecast service time of a request on the endpoint if it were idle.
   *
   * @param endpoint endpoint that would run the request
   * @param work request
   * @param nowNanos current monotonic time, in nanoseconds
   * @return milliseconds
   */
  public double idleServiceMillis(EndpointModel endpoint, WorkRequest work, long nowNanos) {
    double tokens = lengths.quantile(work.team(), lengthQuantile, 0, work.maxOutputTokens());
    return endpoint.speed().firstTokenMillis(endpoint.uncachedTokens(work), nowNanos)
        + tokens * endpoint.speed().tokenMillis(1, nowNanos);
  }

  /**
   * Returns the forecast service time of a request at the endpoint's current batch size, from the
   * time that it has a slot.
   *
   * @param endpoint endpoint that would run the request
   * @param work request
   * @param nowNanos current monotonic time, in nanoseconds
   * @return milliseconds
   */
  public double serviceMillis(EndpointModel endpoint, WorkRequest work, long nowNanos) {
    return serviceMillisAt(endpoint, work, lengthQuantile, nowNanos);
  }

  /**
   * Returns the forecast service time as in {@link #serviceMillis}, but for the length quantile of
   * {@link #promptAdjustedFinishMillis}.
   *
   * @param endpoint endpoint that would run the request
   * @param work request
   * @param nowNanos current monotonic time, in nanoseconds
   * @return milliseconds
   */
  public double promptAdjustedServiceMillis(
      EndpointModel endpoint, WorkRequest work, long nowNanos) {
    return serviceMillisAt(endpoint, work, promptAdjustedQuantile(endpoint, work), nowNanos);
  }

  private double serviceMillisAt(
      EndpointModel endpoint, WorkRequest work, double quantile, long nowNanos) {
    double tokens = lengths.quantile(work.team(), quantile, 0, work.maxOutputTokens());
    int batchSize = Math.max(1, endpoint.batchSize());
    return endpoint.speed().firstTokenMillis(endpoint.uncachedTokens(work), nowNanos)
        + tokens * endpoint.speed().tokenMillis(batchSize, nowNanos);
  }

  private double promptAdjustedQuantile(EndpointModel endpoint, WorkRequest work) {
    double longPromptShare = Math.min(1, endpoint.uncachedTokens(work) / LONG_PROMPT_TOKENS);
    return lengthQuantile
        + Math.max(0, MIN_LONG_PROMPT_QUANTILE - lengthQuantile) * longPromptShare;
  }

  /**
   * Returns the forecast probability that a request misses its deadline if it is granted now.
   *
   * @param endpoint endpoint that would run the request
   * @param waiting request
   * @param nowNanos current monotonic time, in nanoseconds
   * @return probability, 0 to 1
   */
  public double missProbability(EndpointModel endpoint, QueuedRequest waiting, long nowNanos) {
    WorkRequest work = waiting.work();
    double promptTokens = endpoint.prefillBacklogTokens() + endpoint.uncachedTokens(work);
    double remainingMillis =
        waiting.remainingMillis(nowNanos)
            - endpoint.speed().firstTokenMillis(promptTokens, nowNanos);
    double tokens =
        remainingMillis / endpoint.speed().tokenMillis(endpoint.batchSize() + 1, nowNanos);
    return lengths.exceedProbability(work.team(), tokens, work.maxOutputTokens());
  }

  /**
   * Returns the forecast total delay that a request would add to the running requests of an
   * endpoint.
   *
   * @param endpoint endpoint that would run the request
   * @param work request
   * @param nowNanos current monotonic time, in nanoseconds
   * @return milliseconds, summed over the requests running there
   */
  public double addedDelayMillis(EndpointModel endpoint, WorkRequest work, long nowNanos) {
    int batchSize = endpoint.batchSize();
    double addedTokenMillis =
        endpoint.speed().tokenMillis(batchSize + 1, nowNanos)
            - endpoint.speed().tokenMillis(batchSize, nowNanos);
    double medianTokens = lengths.quantile(work.team(), MEDIAN, 0, work.maxOutputTokens());
    double prefillMillis = endpoint.speed().prefillMillis(endpoint.uncachedTokens(work));
    return batchSize * (prefillMillis + medianTokens * addedTokenMillis);
  }

  /**
   * Returns whether every running request that is forecast to meet its deadline would still meet it
   * if another request were added.
   *
   * @param endpoint endpoint that would run the request
   * @param work request that would be added
   * @param nowNanos current monotonic time, in nanoseconds
   * @return false if the addition would make a running request miss its deadline
   */
  public boolean keepsRunningOnTime(EndpointModel endpoint, WorkRequest work, long nowNanos) {
    double prefillMillis = endpoint.speed().prefillMillis(endpoint.uncachedTokens(work));
    double tokenMillisBefore = endpoint.speed().tokenMillis(endpoint.batchSize(), nowNanos);
    double tokenMillisAfter = endpoint.speed().tokenMillis(endpoint.batchSize() + 1, nowNanos);
    for (RunningRequest each : endpoint.running()) {
      double tokens = remainingTokens(each);
      double remainingMillis = each.remainingMillis(nowNanos);
      if (tokens * tokenMillisBefore <= remainingMillis
          && prefillMillis + tokens * tokenMillisAfter > remainingMillis) {
        return false;
      }
    }
    return true;
  }

  private double remainingTokens(RunningRequest running) {
    WorkRequest work = running.work();
    int soFar = running.outputTokens();
    double totalTokens =
        lengths.quantile(work.team(), lengthQuantile, soFar, work.maxOutputTokens());
    return Math.max(1, totalTokens - soFar);
  }

  private double finishMillis(
      EndpointModel endpoint, WorkRequest work, double quantile, long nowNanos) {
    double promptTokens = endpoint.prefillBacklogTokens() + endpoint.uncachedTokens(work);
    double tokens = lengths.quantile(work.team(), quantile, 0, work.maxOutputTokens());
    return endpoint.speed().firstTokenMillis(promptTokens, nowNanos)
        + tokens * endpoint.speed().tokenMillis(endpoint.batchSize() + 1, nowNanos);
  }
}
