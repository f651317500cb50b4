package org.snipewick.pool.policy;

import static java.util.Objects.requireNonNull;

import org.snipewick.pool.WorkRequest;

/** Forecasts of when requests finish on an endpoint, from learned speeds and lengths. */
public final class Forecast {
  private static final double MEDIAN = 0.5;
  private static final double LONG_PROMPT_TOKENS = 3_000;
  private static final double LONG_PROMPT_QUANTILE = 0.95;

  private final LengthModel lengths;
  private final double lengthQuantile;

  /**
   * Creates forecasts.
   *
   * @param lengths learned lengths of answers
   * @param safeShare probability with which an answer is to be no longer than assumed, 0 to 1
   */
  public Forecast(LengthModel lengths, double safeShare) {
    this.lengths = requireNonNull(lengths, "lengths");
    this.lengthQuantile = safeShare;
  }

  /**
   * Forecasts when a request would finish if it were granted now, erring on the late side; the more
   * so, the more prompt tokens a miss would waste.
   *
   * @param endpoint where
   * @param work request
   * @param nowNanos current monotonic time, in nanoseconds
   * @return milliseconds from now
   */
  public double conservativeFinishMillis(EndpointModel endpoint, WorkRequest work, long nowNanos) {
    return finishMillis(endpoint, work, conservativeQuantile(endpoint, work), nowNanos);
  }

  /**
   * Forecasts when a request would typically finish if it were granted now.
   *
   * @param endpoint where
   * @param work request
   * @param nowNanos current monotonic time, in nanoseconds
   * @return milliseconds from now
   */
  public double medianFinishMillis(EndpointModel endpoint, WorkRequest work, long nowNanos) {
    return finishMillis(endpoint, work, MEDIAN, nowNanos);
  }

  /**
   * Forecasts how long a request would take if the endpoint had nothing else to do.
   *
   * @param endpoint where
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
   * Forecasts how long a request would take at the endpoint's present batch, once it has a slot.
   *
   * @param endpoint where
   * @param work request
   * @param nowNanos current monotonic time, in nanoseconds
   * @return milliseconds
   */
  public double serviceMillis(EndpointModel endpoint, WorkRequest work, long nowNanos) {
    return serviceMillisAt(endpoint, work, lengthQuantile, nowNanos);
  }

  /**
   * Forecasts the same, erring on the late side as {@link #conservativeFinishMillis} does.
   *
   * @param endpoint where
   * @param work request
   * @param nowNanos current monotonic time, in nanoseconds
   * @return milliseconds
   */
  public double conservativeServiceMillis(EndpointModel endpoint, WorkRequest work, long nowNanos) {
    return serviceMillisAt(endpoint, work, conservativeQuantile(endpoint, work), nowNanos);
  }

  private double serviceMillisAt(
      EndpointModel endpoint, WorkRequest work, double share, long nowNanos) {
    double tokens = lengths.quantile(work.team(), share, 0, work.maxOutputTokens());
    int batch = Math.max(1, endpoint.batchSize());
    return endpoint.speed().firstTokenMillis(endpoint.uncachedTokens(work), nowNanos)
        + tokens * endpoint.speed().tokenMillis(batch, nowNanos);
  }

  private double conservativeQuantile(EndpointModel endpoint, WorkRequest work) {
    double prompt = Math.min(1, endpoint.uncachedTokens(work) / LONG_PROMPT_TOKENS);
    return lengthQuantile + Math.max(0, LONG_PROMPT_QUANTILE - lengthQuantile) * prompt;
  }

  /**
   * Forecasts the probability that a request would miss its deadline if it were granted now.
   *
   * @param endpoint where
   * @param waiting request
   * @param nowNanos current monotonic time, in nanoseconds
   * @return probability, 0 to 1
   */
  public double missProbability(EndpointModel endpoint, WaitingRequest waiting, long nowNanos) {
    WorkRequest work = waiting.work();
    double prompt = endpoint.prefillBacklogTokens() + endpoint.uncachedTokens(work);
    double left =
        waiting.remainingMillis(nowNanos) - endpoint.speed().firstTokenMillis(prompt, nowNanos);
    double tokens = left / endpoint.speed().tokenMillis(endpoint.batchSize() + 1, nowNanos);
    return lengths.exceedProbability(work.team(), tokens, work.maxOutputTokens());
  }

  /**
   * Forecasts by how much a request would delay the others of an endpoint together.
   *
   * @param endpoint where
   * @param work request
   * @param nowNanos current monotonic time, in nanoseconds
   * @return milliseconds, summed over the requests running there
   */
  public double addedDelayMillis(EndpointModel endpoint, WorkRequest work, long nowNanos) {
    int batch = endpoint.batchSize();
    double slower =
        endpoint.speed().tokenMillis(batch + 1, nowNanos)
            - endpoint.speed().tokenMillis(batch, nowNanos);
    double typical = lengths.quantile(work.team(), MEDIAN, 0, work.maxOutputTokens());
    double prefill = endpoint.speed().prefillMillis(endpoint.uncachedTokens(work));
    return batch * (prefill + typical * slower);
  }

  /**
   * Tells whether every running request that is on time would stay so if another were added.
   *
   * @param endpoint where
   * @param work request to be added
   * @param nowNanos current monotonic time, in nanoseconds
   * @return false if the addition would make one late
   */
  public boolean keepsRunningOnTime(EndpointModel endpoint, WorkRequest work, long nowNanos) {
    double prefill = endpoint.speed().prefillMillis(endpoint.uncachedTokens(work));
    double before = endpoint.speed().tokenMillis(endpoint.batchSize(), nowNanos);
    double after = endpoint.speed().tokenMillis(endpoint.batchSize() + 1, nowNanos);
    for (RunningRequest each : endpoint.running()) {
      double left = remainingTokens(each);
      double remaining = each.remainingMillis(nowNanos);
      if (left * before <= remaining && prefill + left * after > remaining) {
        return false;
      }
    }
    return true;
  }

  private double remainingTokens(RunningRequest running) {
    WorkRequest work = running.work();
    int soFar = running.outputTokens();
    double whole = lengths.quantile(work.team(), lengthQuantile, soFar, work.maxOutputTokens());
    return Math.max(1, whole - soFar);
  }

  private double finishMillis(
      EndpointModel endpoint, WorkRequest work, double share, long nowNanos) {
    double prompt = endpoint.prefillBacklogTokens() + endpoint.uncachedTokens(work);
    double tokens = lengths.quantile(work.team(), share, 0, work.maxOutputTokens());
    return endpoint.speed().firstTokenMillis(prompt, nowNanos)
        + tokens * endpoint.speed().tokenMillis(endpoint.batchSize() + 1, nowNanos);
  }
}
